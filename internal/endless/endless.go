// Package endless has replies of a faulty peer that go on until the connection is closed. Tests and the fault soak send
// them.
package endless

import (
	"io"
	"strings"
	"time"
)

// Reply is a beginning, followed by a part that is repeated.
type Reply struct {
	Name      string
	beginning string
	part      string
	// pause is the time between two parts.
	pause time.Duration
}

// chunkBytes is the least size of a write without pauses.
const chunkBytes = 4096

// Replies returns the replies to a request by where in an HTTP response the bytes without end are. header has the header
// lines by which the response belongs to the request, each with its line end.
func Replies(header string) []Reply {
	head := "HTTP/1.1 200 OK\r\n" + header
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return []Reply{
		{Name: "status line", beginning: "HTTP/1.1 200 ", part: "x"},
		{Name: "header lines", beginning: "HTTP/1.1 200 OK\r\n", part: "A: b\r\n"},
		{Name: "one header line", beginning: "HTTP/1.1 200 OK\r\nA: ", part: "b"},
		{Name: "interim responses", part: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{Name: "body", beginning: head + "\r\n", part: "body"},
		{Name: "announced length", beginning: head + "Content-Length: 99999999999\r\n\r\n", part: "body"},
		{Name: "chunks", beginning: chunked, part: "1\r\nb\r\n"},
		{Name: "chunk extensions", beginning: chunked + "1", part: ";e=f"},
		{Name: "chunk size", beginning: chunked, part: "0"},
		{Name: "trailers", beginning: chunked + "0\r\n", part: "A: b\r\n"},
		{Name: "one byte a time", beginning: head + "Content-Length: 9999\r\n\r\n", part: "b", pause: 20 * time.Millisecond},
		{Name: "no response", part: "\x00"},
	}
}

// Responses returns a reply of whole responses, which follow each other without end.
func Responses(response string) Reply { return Reply{Name: "responses", part: response} }

// Send writes the reply until that fails, and returns the error of the last write.
func (r Reply) Send(w io.Writer) error {
	part := r.part
	if r.pause == 0 {
		part = strings.Repeat(part, 1+chunkBytes/len(part))
	}
	_, err := io.WriteString(w, r.beginning)
	for err == nil {
		_, err = io.WriteString(w, part)
		time.Sleep(r.pause)
	}
	return err
}
