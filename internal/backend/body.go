package backend

import (
	"io"
	"sync"
	"sync/atomic"
)

// requestBody wraps the body of a request and records whether it was read from.
type requestBody struct {
	reader io.Reader
	read   atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.reader.Read(p)
}

// Close implements io.Closer. It does nothing, because the caller owns the body.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) wasRead() bool { return b.read.Load() }

// responseBody wraps the body of a response. It releases the contexts of the request once the body has been
// read completely, fails or is closed.
type responseBody struct {
	body    io.ReadCloser
	release func()
	once    sync.Once
}

// Read implements io.Reader. It returns io.EOF only after the complete body; a truncated body gives another
// error.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil {
		b.once.Do(b.release)
	}
	return n, err
}

// Close implements io.Closer. If the body was not read completely, the rest is discarded together with the
// connection.
func (b *responseBody) Close() error {
	b.once.Do(b.release)
	return b.body.Close()
}
