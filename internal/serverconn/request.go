package serverconn

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/sapphireplank/sapphireplank/internal/bytebudget"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
)

// Request is an HTTP request. Its body is Body, followed by Rest.
type Request struct {
	// ID is echoed in the response. It may be empty.
	ID     string
	Method string
	// URI is the path and query exactly as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Rest is the part of the body that has not arrived yet, or nil. It is read only once a connection is open.
	Rest io.Reader
	// Length is the length of the whole body if there is a Rest, or -1 if it is not known.
	Length int64
	// Memory accounts for the body of the response.
	Memory *bytebudget.Account
	// Used are the connections over which earlier attempts of the request got a response. It is not sent over these again:
	// the backend server may send such a response a second time, and it could not be told from that to the new attempt.
	Used []ConnID
	// AtMostOnce marks a request that must be executed at most once. It is sent only over a new or recently used
	// connection.
	AtMostOnce bool
}

// Response is a complete HTTP response of a backend server.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Metadata exchange.ResponseMetadata
	// Conn is the connection over which the response came.
	Conn ConnID
}

// encode returns the request in its HTTP/1.1 wire format.
func (r *Request) encode() ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(512 + len(r.Body))
	buffer.WriteString(r.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(r.URI)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(r.Host)
	buffer.WriteString("\r\n")
	if err := r.Header.Write(&buffer); err != nil {
		return nil, err
	}
	body := r.Body
	switch {
	case r.Rest != nil && r.Length < 0:
		buffer.WriteString("Transfer-Encoding: chunked\r\n")
		body = encodeChunk(r.Body)
	case r.Rest != nil:
		writeContentLength(&buffer, r.Length)
	case len(r.Body) > 0 || requiresContentLength(r.Method):
		writeContentLength(&buffer, int64(len(r.Body)))
	}
	buffer.WriteString("\r\n")
	buffer.Write(body)
	return buffer.Bytes(), nil
}

func writeContentLength(buffer *bytes.Buffer, length int64) {
	buffer.WriteString("Content-Length: ")
	buffer.WriteString(strconv.FormatInt(length, 10))
	buffer.WriteString("\r\n")
}

// requiresContentLength reports whether requests with this method carry a Content-Length even if the body is empty.
func requiresContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
