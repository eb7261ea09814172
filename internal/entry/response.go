package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/hopheader"
)

// response is an HTTP response to a client.
type response struct {
	status int
	header http.Header
	body   []byte
	// deadline is the deadline of the request. Until then the response is written as long as the client reads it.
	deadline time.Time
	// close requests that the connection be closed after the response.
	close bool
}

// gatewayResponse returns a response that the gateway generates itself.
func gatewayResponse(status int, text string) *response {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	return &response{status: status, header: header, body: []byte(text + "\n")}
}

// notExecutedResponse tells the client that the request was not executed and when to send it again.
func notExecutedResponse(text string, after time.Duration) *response {
	r := gatewayResponse(http.StatusServiceUnavailable, text)
	r.header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return r
}

// encode returns the response in its wire format, as its head and its body. The response to a HEAD request has no body.
func (r *response) encode(method string) [][]byte {
	var buffer bytes.Buffer
	buffer.Grow(headBytes)
	buffer.WriteString("HTTP/1.1 ")
	buffer.WriteString(strconv.Itoa(r.status))
	buffer.WriteByte(' ')
	buffer.WriteString(http.StatusText(r.status))
	buffer.WriteString("\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = r.header.Write(&buffer)
	if hasBody(r.status) {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(r.body)))
		buffer.WriteString("\r\n")
	}
	if r.close {
		buffer.WriteString("Connection: close\r\n")
	}
	buffer.WriteString("\r\n")
	if method == http.MethodHead || !hasBody(r.status) || len(r.body) == 0 {
		return [][]byte{buffer.Bytes()}
	}
	return [][]byte{buffer.Bytes(), r.body}
}

// headBytes is the length of most heads of responses.
const headBytes = 512

// hasBody reports whether responses with this status have a body.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// removeConnectionHeaders removes the hop-by-hop headers and the Content-Length, which is set again on encoding.
func removeConnectionHeaders(header http.Header) {
	hopheader.Remove(header)
	header.Del("Content-Length")
}
