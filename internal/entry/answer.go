package entry

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/hopheader"
)

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	// close ends the connection after the answer.
	close bool
}

// ownAnswer is an answer of the gateway itself.
func ownAnswer(status int, text string) *answer {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	return &answer{status: status, header: header, body: []byte(text + "\n")}
}

// notRun tells the caller that the request was not run and when to send it again.
func notRun(text string, after time.Duration) *answer {
	a := ownAnswer(http.StatusServiceUnavailable, text)
	a.header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	return a
}

// encode returns the answer as it is sent. The answer to a HEAD request has no body.
func (a *answer) encode(method string) []byte {
	var buffer bytes.Buffer
	buffer.Grow(512 + len(a.body))
	buffer.WriteString("HTTP/1.1 ")
	buffer.WriteString(strconv.Itoa(a.status))
	buffer.WriteByte(' ')
	buffer.WriteString(http.StatusText(a.status))
	buffer.WriteString("\r\n")
	// Writing to a buffer does not fail.
	_ = a.header.Write(&buffer)
	if hasBody(a.status) {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(a.body)))
		buffer.WriteString("\r\n")
	}
	if a.close {
		buffer.WriteString("Connection: close\r\n")
	}
	buffer.WriteString("\r\n")
	if method != http.MethodHead && hasBody(a.status) {
		buffer.Write(a.body)
	}
	return buffer.Bytes()
}

// hasBody reports whether answers with a status have a body.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// removeOwnHeaders removes the headers that concern one connection only, and the length, which is set anew.
func removeOwnHeaders(header http.Header) {
	hopheader.Remove(header)
	header.Del("Content-Length")
}
