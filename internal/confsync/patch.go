package confsync

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockSize is the length of the blocks of the base that are indexed for matching, in bytes.
	blockSize      = 32
	hashMultiplier = 0x9E3779B97F4A7C15
	// MaxDocumentBytes bounds the size of a patched document, so that a faulty peer cannot exhaust memory.
	MaxDocumentBytes = 8 << 20
	checksumBytes    = 8
)

// makePatch returns a patch that transforms base into target. A patch consists of a checksum of target, the length of
// target, and instructions. An instruction either copies from base (length shifted left by one with the lowest bit set,
// then the offset in base) or inserts new bytes (length shifted left by one, then the bytes).
func makePatch(base, target []byte) []byte {
	patch := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(target))
	patch = binary.AppendUvarint(patch, uint64(len(target)))
	index := indexBlocks(base)
	written := 0
	var window rollingHash
	for pos := 0; pos+blockSize <= len(target); {
		window.moveTo(target, pos)
		baseOffset, ok := index[window.sum]
		if !ok || !bytes.Equal(base[baseOffset:baseOffset+blockSize], target[pos:pos+blockSize]) {
			pos++
			continue
		}
		start, baseStart := pos, baseOffset
		for start > written && baseStart > 0 && base[baseStart-1] == target[start-1] {
			start--
			baseStart--
		}
		end := pos + blockSize
		for end < len(target) && baseStart+end-start < len(base) && base[baseStart+end-start] == target[end] {
			end++
		}
		patch = appendInsert(patch, target[written:start])
		patch = binary.AppendUvarint(patch, uint64(end-start)<<1|1)
		patch = binary.AppendUvarint(patch, uint64(baseStart))
		written, pos = end, end
	}
	return appendInsert(patch, target[written:])
}

func appendInsert(patch, data []byte) []byte {
	if len(data) == 0 {
		return patch
	}
	patch = binary.AppendUvarint(patch, uint64(len(data))<<1)
	return append(patch, data...)
}

func indexBlocks(base []byte) map[uint64]int {
	index := make(map[uint64]int, len(base)/blockSize)
	var window rollingHash
	for pos := 0; pos+blockSize <= len(base); pos += blockSize {
		window.moveTo(base, pos)
		if _, ok := index[window.sum]; !ok {
			index[window.sum] = pos
		}
	}
	return index
}

// rollingHash is a polynomial rolling hash over a window of blockSize bytes.
type rollingHash struct {
	sum         uint64
	pos         int
	initialized bool
}

// oldestByteWeight is hashMultiplier to the power of blockSize-1: the weight of the byte that leaves the window.
var oldestByteWeight = func() uint64 {
	weight := uint64(1)
	for range blockSize - 1 {
		weight *= hashMultiplier
	}
	return weight
}()

// moveTo moves the window to data[pos : pos+blockSize]. It updates the hash incrementally if pos follows the last
// position.
func (h *rollingHash) moveTo(data []byte, pos int) {
	if h.initialized && pos == h.pos+1 {
		h.sum -= uint64(data[h.pos]) * oldestByteWeight
		h.sum = h.sum*hashMultiplier + uint64(data[pos+blockSize-1])
		h.pos = pos
		return
	}
	h.sum = 0
	for _, b := range data[pos : pos+blockSize] {
		h.sum = h.sum*hashMultiplier + uint64(b)
	}
	h.pos = pos
	h.initialized = true
}

// applyPatch returns the target of a patch. It returns false if the patch is malformed or does not apply to base.
func applyPatch(base, patch []byte) ([]byte, bool) {
	if len(patch) < checksumBytes {
		return nil, false
	}
	checksum := binary.BigEndian.Uint64(patch)
	size, rest, ok := readUvarint(patch[checksumBytes:])
	if !ok || size > MaxDocumentBytes {
		return nil, false
	}
	target := make([]byte, 0, size)
	for len(rest) > 0 {
		output, remaining, ok := readInstruction(base, rest)
		if !ok || uint64(len(target)+len(output)) > size {
			return nil, false
		}
		target = append(target, output...)
		rest = remaining
	}
	return target, xxhash.Sum64(target) == checksum
}

// readInstruction returns the bytes that the first instruction produces, and the rest of the patch.
func readInstruction(base, patch []byte) (output, rest []byte, ok bool) {
	header, rest, ok := readUvarint(patch)
	if !ok {
		return nil, nil, false
	}
	length, literal := header>>1, rest
	if header&1 == 0 {
		if length > uint64(len(literal)) {
			return nil, nil, false
		}
		return literal[:length], literal[length:], true
	}
	offset, rest, ok := readUvarint(rest)
	if !ok || offset > uint64(len(base)) || length > uint64(len(base))-offset {
		return nil, nil, false
	}
	return base[offset : offset+length], rest, true
}

func readUvarint(data []byte) (value uint64, rest []byte, ok bool) {
	value, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, false
	}
	return value, data[n:], true
}
