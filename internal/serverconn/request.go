package serverconn

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/sapphireplank/sapphireplank/internal/exchange"
)

// Request is an HTTP request with its complete body.
type Request struct {
	// ID is echoed in the response. It may be empty.
	ID     string
	Method string
	// URI is the path and query exactly as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
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
	if len(r.Body) > 0 || requiresContentLength(r.Method) {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(r.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return buffer.Bytes(), nil
}

// requiresContentLength reports whether requests with this method carry a Content-Length even if the body is empty.
func requiresContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
