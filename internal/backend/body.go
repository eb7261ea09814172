package backend

import (
	"io"
	"sync"
	"sync/atomic"
)

// trackedBody is the body of a request. It remembers whether any of it was read.
type trackedBody struct {
	source io.Reader
	read   atomic.Bool
}

// Read reads from the caller's body.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.source.Read(p)
}

// Close does nothing: the body belongs to the caller.
func (b *trackedBody) Close() error { return nil }

func (b *trackedBody) touched() bool { return b.read.Load() }

// responseBody ends the contexts of the request when the body was read or closed.
type responseBody struct {
	source io.ReadCloser
	finish func()
	once   sync.Once
}

// Read returns io.EOF only at the complete end of the answer.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil {
		b.once.Do(b.finish)
	}
	return n, err
}

// Close gives up the rest of the answer and, if there is one, the connection.
func (b *responseBody) Close() error {
	b.once.Do(b.finish)
	return b.source.Close()
}
