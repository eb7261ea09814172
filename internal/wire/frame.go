package wire

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// FrameType identifies the content of a frame.
type FrameType byte

// Types of frames.
const (
	FrameRequestHead  FrameType = 1
	FrameResponseHead FrameType = 2
	FrameBody         FrameType = 3
	FrameEnd          FrameType = 4
	FrameControl      FrameType = 5
	FrameQuery        FrameType = 6
	FrameRelay        FrameType = 7
	// FrameCompressedRelay is a FrameRelay whose payload is compressed with DEFLATE.
	FrameCompressedRelay FrameType = 8
)

const (
	frameHeaderBytes = 5
	// MaxFrameBytes is the maximum payload of a frame. Control frames carry complete configurations, which are values
	// of the store of at most 1 MB; the remainder is for the envelope.
	MaxFrameBytes = 1<<20 + 64<<10
	// MaxBodyFrameBytes is the maximum number of body bytes in a frame.
	MaxBodyFrameBytes = 32 << 10
)

// Errors of invalid frames.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the maximum size; close the session, the peer is faulty or not a gateway")
	ErrFrameType     = errors.New("frame has an unexpected type; close the stream, the peer is faulty or runs a different version")
)

// WriteFrame writes payload as one frame with a single call of w.Write.
func WriteFrame(w io.Writer, t FrameType, payload []byte) error {
	if len(payload) > MaxFrameBytes {
		return errors.Wrapf(ErrFrameTooLarge, "frame of %d bytes", len(payload))
	}
	buffer := make([]byte, frameHeaderBytes+len(payload))
	putFrameHeader(buffer, t, len(payload))
	copy(buffer[frameHeaderBytes:], payload)
	_, err := w.Write(buffer)
	return errors.Wrap(err, "write frame")
}

// WriteMessage marshals m and writes it as one frame.
func WriteMessage(w io.Writer, t FrameType, m proto.Message) error {
	buffer, err := AppendMessage(nil, t, m)
	if err != nil {
		return err
	}
	_, err = w.Write(buffer)
	return errors.Wrap(err, "write frame")
}

// AppendMessage appends m as one frame to buffer.
func AppendMessage(buffer []byte, t FrameType, m proto.Message) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, frameHeaderBytes)...)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, m)
	if err != nil {
		return nil, errors.Wrap(err, "marshal message")
	}
	size := len(buffer) - start - frameHeaderBytes
	if size > MaxFrameBytes {
		return nil, errors.Wrapf(ErrFrameTooLarge, "frame of %d bytes", size)
	}
	putFrameHeader(buffer[start:], t, size)
	return buffer, nil
}

func putFrameHeader(buffer []byte, t FrameType, size int) {
	buffer[0] = byte(t)
	binary.BigEndian.PutUint32(buffer[1:frameHeaderBytes], uint32(size))
}

// ReadFrame reads one frame. The payload is stored in buffer if it fits, and in a new slice otherwise.
func ReadFrame(r io.Reader, buffer []byte) (FrameType, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxFrameBytes {
		return 0, nil, errors.Wrapf(ErrFrameTooLarge, "frame of %d bytes", size)
	}
	if int(size) > cap(buffer) {
		buffer = make([]byte, size)
	}
	buffer = buffer[:size]
	if _, err := io.ReadFull(r, buffer); err != nil {
		return 0, nil, errors.Wrap(err, "read frame")
	}
	return FrameType(header[0]), buffer, nil
}

// ReadMessage reads one frame, which must have type want, and unmarshals it into m.
func ReadMessage(r io.Reader, want FrameType, m proto.Message) error {
	got, payload, err := ReadFrame(r, nil)
	if err != nil {
		return err
	}
	if got != want {
		return errors.Wrapf(ErrFrameType, "frame has type %d, want %d", got, want)
	}
	return errors.Wrap(proto.Unmarshal(payload, m), "unmarshal message")
}

// AppendFrame appends payload as one frame to buffer.
func AppendFrame(buffer []byte, t FrameType, payload []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, frameHeaderBytes)...)
	putFrameHeader(buffer[start:], t, len(payload))
	return append(buffer, payload...)
}
