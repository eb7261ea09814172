package httpcheck

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// body is the body of a response. At its end it checks the length that the head states, and the trailers.
type body struct {
	io.ReadCloser
	head     *Head
	response *http.Response
	length   int
}

// Read implements io.Reader. It returns io.EOF only after a whole body.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.length += n
	if err != io.EOF {
		return n, err
	}
	if malformed := errors.CombineErrors(b.head.CheckLength(b.length), Fields(b.response.Trailer)); malformed != nil {
		return n, malformed
	}
	return n, io.EOF
}
