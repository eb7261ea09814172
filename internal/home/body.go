package home

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// answerBody frees the slot when the answer is complete or given up.
type answerBody struct {
	source     io.ReadCloser
	dispatcher *Dispatcher
	ticket     *ticket
	once       sync.Once
}

// Read returns io.EOF only at the complete end of the answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.once.Do(func() { b.dispatcher.completed(b.ticket) })
	default:
		b.once.Do(func() { b.dispatcher.abandoned(b.ticket) })
	}
	return n, err
}

// Close gives up the rest of the answer.
func (b *answerBody) Close() error {
	err := b.source.Close()
	b.once.Do(func() { b.dispatcher.abandoned(b.ticket) })
	return err
}
