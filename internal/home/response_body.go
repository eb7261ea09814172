package home

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// responseBody frees the slot once the response is complete or abandoned.
type responseBody struct {
	source     io.ReadCloser
	dispatcher *Dispatcher
	request    *pendingRequest
	once       sync.Once
}

// Read returns io.EOF only at the end of a complete response.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.dispatcher.completed(b.request) })
	default:
		b.once.Do(func() { b.dispatcher.abandoned(b.request) })
	}
	return n, err
}

// Close abandons the rest of the response.
func (b *responseBody) Close() error {
	err := b.source.Close()
	b.once.Do(func() { b.dispatcher.abandoned(b.request) })
	return err
}
