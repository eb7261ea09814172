package serverconn

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/sapphireplank/sapphireplank/internal/exchange"
)

// Request is a request with its whole body.
type Request struct {
	// ID is echoed in the answer. It may be empty.
	ID     string
	Method string
	// URI is the path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is true if the request may run once at most. It then uses only connections that were used lately.
	AtMostOnce bool
}

// Response is a complete answer of a backend server.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Metadata exchange.ResponseMetadata
}

// encode returns the request as it is sent.
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
	if len(r.Body) > 0 || bodyExpected(r.Method) {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(r.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return buffer.Bytes(), nil
}

// bodyExpected reports whether a request of a method states its length even without a body.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
