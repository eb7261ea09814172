package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// compressAboveBytes is the size above which a message to other gateways is compressed. Shorter ones hardly get smaller, and are
// by far the most.
const compressAboveBytes = 1 << 10

// ErrMessageTooLarge means that a compressed message exceeds the size of a frame.
var ErrMessageTooLarge = errors.New("compressed message exceeds the maximum size; the peer is faulty or not a gateway")

var (
	writers = sync.Pool{New: func() any {
		// An error is returned only for an unknown level.
		w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Encode encodes a message, so that it is encoded only once for all sessions that receive it.
func Encode(message *wire.RelayDown) (Message, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "marshal message")
	}
	if len(payload) > wire.MaxFrameBytes {
		return nil, errors.Wrapf(wire.ErrFrameTooLarge, "message of %d bytes", len(payload))
	}
	if len(payload) > compressAboveBytes {
		compressed, err := compress(payload)
		if err != nil {
			return nil, err
		}
		return wire.AppendFrame(nil, wire.FrameCompressedRelay, compressed), nil
	}
	return wire.AppendFrame(nil, wire.FrameRelay, payload), nil
}

// readMessage reads a message that Encode has encoded.
func readMessage(r io.Reader) (*wire.RelayDown, error) {
	frameType, payload, err := wire.ReadFrame(r, nil)
	if err != nil {
		return nil, err
	}
	switch frameType {
	case wire.FrameRelay:
	case wire.FrameCompressedRelay:
		if payload, err = decompress(payload); err != nil {
			return nil, err
		}
	default:
		return nil, errors.Wrapf(wire.ErrFrameType, "frame has type %d", frameType)
	}
	message := &wire.RelayDown{}
	return message, errors.Wrap(proto.Unmarshal(payload, message), "unmarshal message")
}

func compress(payload []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(payload); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	return buffer.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	payload, err := io.ReadAll(io.LimitReader(r, wire.MaxFrameBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	if len(payload) > wire.MaxFrameBytes {
		return nil, ErrMessageTooLarge
	}
	return payload, nil
}
