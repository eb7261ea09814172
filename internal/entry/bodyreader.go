package entry

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// errOtherReader means that an attempt may not read the body of its request.
var errOtherReader = errors.New("the rest of the request body belongs to another attempt; close the connection")

// bodyReader reads a body for one attempt to send the request. It fails once the body has been reclaimed, so that two attempts never
// share a body.
type bodyReader struct {
	stream *bodyStream
}

// Read implements io.Reader.
func (r *bodyReader) Read(buffer []byte) (int, error) {
	if !r.stream.readers.begin(r) {
		return 0, errOtherReader
	}
	return r.stream.read(buffer)
}

// readerSlot holds the only reader of a body that can be read once. It is safe for concurrent use, and its methods do not wait for a
// pending read. The zero value holds no reader.
type readerSlot struct {
	// mu protects the fields below.
	mu     sync.Mutex
	reader *bodyReader
	// started is set once the reader has begun to read. It stays the only one from then on.
	started bool
}

// assign makes r the only reader, unless another one has begun to read.
func (s *readerSlot) assign(r *bodyReader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.reader = r
	}
}

// begin reports whether r may read. If so, no other reader may from then on.
func (s *readerSlot) begin(r *bodyReader) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader != r {
		return false
	}
	s.started = true
	return true
}

// reclaim removes the reader, so that another one can be assigned. It returns false if the reader has begun to read.
func (s *readerSlot) reclaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started {
		return false
	}
	s.reader = nil
	return true
}
