package entry

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of the body of a request that is forwarded while it arrives.
var (
	errBodyTooLong   = errors.New("request body is longer than the limit; send less")
	errBodyAbandoned = errors.New("request was answered before its body had arrived")
)

// bodyStream is the rest of a request body that is forwarded while it arrives. It can be read only once, and by one attempt: the
// request cannot be sent again after an attempt has begun to read it.
type bodyStream struct {
	conn *clientConn
	body io.Reader
	// left is the number of bytes that may still arrive.
	left int64
	// ended is closed when no more is read: at the end of the body, after an error or when the stream is abandoned.
	ended chan struct{}

	// readers holds the reader of the attempt that may read the body.
	readers readerSlot
	// taken is the number of bytes that have been read.
	taken atomic.Int64

	// mu protects the fields below. It is held while a read is pending.
	mu       sync.Mutex
	complete bool
	err      error
}

func newBodyStream(conn *clientConn, body io.Reader, limit int64) *bodyStream {
	return &bodyStream{conn: conn, body: body, left: limit, ended: make(chan struct{})}
}

// newReader returns the reader of the next attempt. It cannot read if an earlier one has begun to.
func (s *bodyStream) newReader() *bodyReader {
	r := &bodyReader{stream: s}
	s.readers.assign(r)
	return r
}

// read reads the next part of the body. Only one goroutine may call it.
func (s *bodyStream) read(buffer []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.body.Read(buffer)
	s.taken.Add(int64(n))
	s.left -= int64(n)
	if s.left < 0 {
		n, err = 0, errBodyTooLong
	}
	if err != nil {
		s.end(err)
	}
	return n, err
}

// end records the end of the stream. The caller must hold mu.
func (s *bodyStream) end(err error) {
	s.complete = err == io.EOF
	s.err = err
	close(s.ended)
}

// abandon ends the stream after the request was answered. It returns whether the whole body has been read.
func (s *bodyStream) abandon() bool {
	select {
	case <-s.ended:
	default:
		// A pending read then fails with a timeout and releases mu.
		s.conn.stopReading()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.end(errBodyAbandoned)
	}
	return s.complete
}

// awaitBody waits until the whole body has been read. It returns false if that does not happen.
func (r *request) awaitBody() bool {
	if r.rest == nil {
		return true
	}
	<-r.rest.ended
	r.rest.mu.Lock()
	defer r.rest.mu.Unlock()
	return r.rest.complete
}

// reclaimBody takes the body back from the last attempt, which may still be writing it. It returns false if a part has been read that
// is not held, so that the request cannot be sent again.
func (r *request) reclaimBody() bool { return r.rest == nil || r.rest.readers.reclaim() }
