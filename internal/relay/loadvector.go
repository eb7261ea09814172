package relay

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// A load vector has a digit of four bits for each server of an index, in their order: its number of requests, up to
// maxDigit-1. A server with more has maxDigit; the excess over it follows after all digits, as a varint.
const (
	digitBits = 4
	maxDigit  = 1<<digitBits - 1
)

// ErrInvalidVector means that a vector is shorter than its index needs.
var ErrInvalidVector = errors.New("vector of request counts is too short; ignored")

// EncodeLoadVector encodes request counts by server. Servers that the index lacks are left out.
func EncodeLoadVector(index *Index, loads map[uint32]int) *wire.LoadVector {
	digits := make([]byte, (len(index.servers)+1)/2)
	var excess []byte
	for position, server := range index.servers {
		digit := min(max(loads[server], 0), maxDigit)
		digits[position/2] |= byte(digit) << (digitBits * (position % 2))
		if digit == maxDigit {
			excess = binary.AppendUvarint(excess, uint64(loads[server]-maxDigit))
		}
	}
	return &wire.LoadVector{Index: index.version, Digits: append(digits, excess...)}
}

// DecodeLoadVector decodes request counts by server. Servers without requests are left out. index is the known index, or nil.
func DecodeLoadVector(index *Index, message *wire.LoadVector) (map[uint32]int, error) {
	if index == nil || index.version != message.Index {
		return nil, errors.Wrapf(ErrUnknownIndex, "index %d", message.Index)
	}
	length := (len(index.servers) + 1) / 2
	if len(message.Digits) < length {
		return nil, errors.Wrapf(ErrInvalidVector, "%d bytes for %d servers", len(message.Digits), len(index.servers))
	}
	digits, excess := message.Digits[:length], message.Digits[length:]
	loads := make(map[uint32]int, len(index.servers))
	for position, server := range index.servers {
		requests := int(digits[position/2]>>(digitBits*(position%2))) & maxDigit
		if requests == maxDigit {
			more, size := binary.Uvarint(excess)
			if size <= 0 || more > maxExcess {
				return nil, errors.Wrapf(ErrInvalidVector, "excess of server %d", position)
			}
			requests, excess = requests+int(more), excess[size:]
		}
		if requests > 0 {
			loads[server] = requests
		}
	}
	return loads, nil
}

// maxExcess is far above the number of requests at any server.
const maxExcess = 1 << 30
