package gateway

import (
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// errCutAnswer is returned by Read for an answer that did not end with a matching End.
var errCutAnswer = errors.New("answer was cut between gateways; the caller must not take it as complete")

// hopBody reads the body of an answer from another gateway. It returns io.EOF only after an End that carries
// the id of the request and the number of bytes read.
type hopBody struct {
	call  backend.RequestID
	conn  *peer.ClientStream
	stop  func() bool
	frame []byte
	total int64
	err   error
}

// Read implements io.Reader.
func (b *hopBody) Read(p []byte) (int, error) {
	for len(b.frame) == 0 && b.err == nil {
		b.next()
	}
	if len(b.frame) == 0 {
		return 0, b.err
	}
	n := copy(p, b.frame)
	b.frame = b.frame[n:]
	b.total += int64(n)
	return n, nil
}

func (b *hopBody) next() {
	frameType, payload, err := wire.ReadFrame(b.conn.Reader, nil)
	switch {
	case err != nil:
		b.err = errors.CombineErrors(errCutAnswer, err)
	case frameType == wire.FrameBody:
		b.frame = payload
	case frameType == wire.FrameEnd:
		b.err = b.checkEnd(payload)
	default:
		b.err = errCutAnswer
	}
}

func (b *hopBody) checkEnd(payload []byte) error {
	var end wire.End
	if err := proto.Unmarshal(payload, &end); err != nil {
		return errors.CombineErrors(errCutAnswer, err)
	}
	if string(end.RequestId) != string(b.call[:]) || end.TotalBytes != b.total {
		return errCutAnswer
	}
	return io.EOF
}

// Close gives the stream back after a whole answer, and ends it otherwise. The far side takes an early end as a
// cancellation.
func (b *hopBody) Close() error {
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
