package confsync

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// patchBlock is the length of the pieces of the base that a patch can find, in bytes.
	patchBlock = 32
	// patchPrime is the multiplier of the rolling hash.
	patchPrime = 0x9E3779B97F4A7C15
	// MaxDocumentBytes bounds a document that a patch makes, so that a faulty peer cannot exhaust memory.
	MaxDocumentBytes = 8 << 20
	checksumBytes    = 8
)

// makePatch returns a patch that makes target from base: a checksum of target, the length of target, and pieces. A
// piece is a copy (length shifted left by one with the lowest bit set, then the offset in base), or new bytes (length
// shifted left by one, then the bytes).
func makePatch(base, target []byte) []byte {
	patch := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(target))
	patch = binary.AppendUvarint(patch, uint64(len(target)))
	index := indexBlocks(base)
	written := 0
	var window rollingHash
	for at := 0; at+patchBlock <= len(target); {
		window.moveTo(target, at)
		offset, ok := index[window.sum]
		if !ok || !bytes.Equal(base[offset:offset+patchBlock], target[at:at+patchBlock]) {
			at++
			continue
		}
		start, from := at, offset
		for start > written && from > 0 && base[from-1] == target[start-1] {
			start--
			from--
		}
		end := at + patchBlock
		for end < len(target) && from+end-start < len(base) && base[from+end-start] == target[end] {
			end++
		}
		patch = appendInsert(patch, target[written:start])
		patch = binary.AppendUvarint(patch, uint64(end-start)<<1|1)
		patch = binary.AppendUvarint(patch, uint64(from))
		written, at = end, end
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
	index := make(map[uint64]int, len(base)/patchBlock)
	var window rollingHash
	for at := 0; at+patchBlock <= len(base); at += patchBlock {
		window.moveTo(base, at)
		if _, ok := index[window.sum]; !ok {
			index[window.sum] = at
		}
	}
	return index
}

// rollingHash is the polynomial hash of patchBlock bytes.
type rollingHash struct {
	sum   uint64
	at    int
	ready bool
}

// firstWeight is patchPrime to the power of patchBlock-1: the weight of the byte that leaves the window.
var firstWeight = func() uint64 {
	weight := uint64(1)
	for range patchBlock - 1 {
		weight *= patchPrime
	}
	return weight
}()

// moveTo hashes data[at : at+patchBlock], by one step if at follows the last position.
func (h *rollingHash) moveTo(data []byte, at int) {
	if h.ready && at == h.at+1 {
		h.sum -= uint64(data[h.at]) * firstWeight
		h.sum = h.sum*patchPrime + uint64(data[at+patchBlock-1])
		h.at = at
		return
	}
	h.sum = 0
	for _, b := range data[at : at+patchBlock] {
		h.sum = h.sum*patchPrime + uint64(b)
	}
	h.at = at
	h.ready = true
}

// applyPatch makes the target. It returns false if the patch is malformed or was made from another base.
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
		piece, after, ok := readPiece(base, rest)
		if !ok || uint64(len(target)+len(piece)) > size {
			return nil, false
		}
		target = append(target, piece...)
		rest = after
	}
	return target, xxhash.Sum64(target) == checksum
}

// readPiece returns the bytes of the first piece and the patch after it.
func readPiece(base, patch []byte) (piece, rest []byte, ok bool) {
	head, rest, ok := readUvarint(patch)
	if !ok {
		return nil, nil, false
	}
	length, source := head>>1, rest
	if head&1 == 0 {
		if length > uint64(len(source)) {
			return nil, nil, false
		}
		return source[:length], source[length:], true
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
