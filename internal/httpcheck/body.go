package httpcheck

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// body is the body of a response. At its end it checks the length that the head states, the trailers, and how the connection ended
// if only that tells where the body ends.
type body struct {
	io.ReadCloser
	conn     checker
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
	if EndsWithConnection(b.response) && b.conn.SawReset() {
		return n, errors.Wrap(io.ErrUnexpectedEOF, "connection was reset while the request was being written")
	}
	if checkErr := errors.CombineErrors(b.head.CheckLength(b.length), Fields(b.response.Trailer)); checkErr != nil {
		return n, checkErr
	}
	return n, io.EOF
}

// EndsWithConnection reports whether only the end of the connection tells where the body of a response ends.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}
