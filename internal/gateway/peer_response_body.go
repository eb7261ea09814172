package gateway

import (
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// errTruncatedResponse is returned by Read for a response that did not end with a matching End frame.
var errTruncatedResponse = errors.New("forwarded response truncated or malformed; do not treat it as complete")

// peerResponseBody reads the body of a response from another gateway. It returns io.EOF only after an End frame that
// carries the request ID and the number of bytes read.
type peerResponseBody struct {
	requestID backend.RequestID
	conn      *peer.ClientStream
	stop      func() bool
	frame     []byte
	total     int64
	err       error
}

// Read implements io.Reader.
func (b *peerResponseBody) Read(p []byte) (int, error) {
	for len(b.frame) == 0 && b.err == nil {
		b.readFrame()
	}
	if len(b.frame) == 0 {
		return 0, b.err
	}
	n := copy(p, b.frame)
	b.frame = b.frame[n:]
	b.total += int64(n)
	return n, nil
}

func (b *peerResponseBody) readFrame() {
	frameType, payload, err := wire.ReadFrame(b.conn.Reader, nil)
	switch {
	case err != nil:
		b.err = errors.CombineErrors(errTruncatedResponse, err)
	case frameType == wire.FrameBody:
		b.frame = payload
	case frameType == wire.FrameEnd:
		b.err = b.checkEnd(payload)
	default:
		b.err = errTruncatedResponse
	}
}

func (b *peerResponseBody) checkEnd(payload []byte) error {
	var end wire.End
	if err := proto.Unmarshal(payload, &end); err != nil {
		return errors.CombineErrors(errTruncatedResponse, err)
	}
	if string(end.RequestId) != string(b.requestID[:]) || end.TotalBytes != b.total {
		return errTruncatedResponse
	}
	return io.EOF
}

// Close returns the connection to the pool after a complete response and discards it otherwise. The other gateway
// cancels the request if the connection closes early.
func (b *peerResponseBody) Close() error {
	if b.conn == nil {
		return nil
	}
	if b.stop() && b.err == io.EOF {
		b.conn.Release()
	} else {
		b.conn.Discard()
	}
	b.conn = nil
	return nil
}
