// Package malformed has answers of a faulty peer that are no whole HTTP/1.1 responses although they resemble one, and unusual
// answers that are. Tests and the fault soak send them.
package malformed

import (
	"fmt"
	"slices"
	"strings"
)

// Reply is the bytes of an answer. The connection ends in an ordinary way after them.
type Reply struct {
	Name string
	Text string
}

// answer builds replies from the lines by which an answer belongs to its request, each with its line end, and its body.
type answer struct {
	header, body string
}

const statusOK = "HTTP/1.1 200 OK"

// head returns a head with further lines, each with its line end.
func (a answer) head(statusLine, lines string) string {
	return statusLine + "\r\n" + a.header + lines + "\r\n"
}

// withLength returns a whole answer with further lines.
func (a answer) withLength(statusLine, lines string) string {
	return a.head(statusLine, lines+fmt.Sprintf("Content-Length: %d\r\n", len(a.body))) + a.body
}

// Replies returns answers that are no whole responses. header has the lines by which an answer belongs to its request.
func Replies(header, body string) []Reply {
	a := answer{header, body}
	return slices.Concat(a.statusCodes(), a.statusLines(), a.fieldNames(), a.misreadLengths())
}

func (a answer) statusCodes() []Reply {
	var replies []Reply
	for _, code := range []string{"000", "001", "020", "099", "101", "600", "999", "20", "2000", "+20", "-20", "2x0", ""} {
		replies = append(replies, Reply{fmt.Sprintf("status %q", code), a.withLength("HTTP/1.1 "+code+" OK", "")})
	}
	return replies
}

// statusLines returns answers with another protocol, or with a reason that is none.
func (a answer) statusLines() []Reply {
	var replies []Reply
	for _, line := range []string{
		"HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", "ICY 200 OK",
		"HTTP/1.1\t200 OK", "HTTP/1.1 200OK", "200 OK", "", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK",
	} {
		replies = append(replies, Reply{fmt.Sprintf("status line %q", line), a.withLength(line, "")})
	}
	return replies
}

// fieldNames returns answers with a line whose name is none.
func (a answer) fieldNames() []Reply {
	var replies []Reply
	for _, line := range []string{
		"X Y: z", "X : y", "X\t: y", ": y", "no field", "X(Y): z", "X\"Y: z", "X@Y: z", "X\xe9: y", "X\x00: y", "X\x1f: y", "X\rY: z", "X\x7f: y",
	} {
		replies = append(replies, Reply{fmt.Sprintf("field line %q", line), a.withLength(statusOK, line+"\r\n")})
	}
	head, _ := strings.CutPrefix(a.withLength(statusOK, ""), statusOK+"\r\n")
	return append(replies, Reply{"blank before the first field", statusOK + "\r\n " + head})
}

// misreadLengths returns answers whose length is in a line that is no field. Bytes follow that do not belong to the body.
func (a answer) misreadLengths() []Reply {
	var replies []Reply
	for _, line := range []string{
		"Content-Length : ", "Content-Length\t: ", "Content Length: ", "Content-Length\x00: ", "Content-Length\x01: ",
		"\x01Content-Length: ", "Content-\rLength: ", "Content-Length\x7f: ", "Content-Length\v: ", "Content-Length\xa0: ",
		"X: y\r\n Content-Length: ", "X: y\r\n\tContent-Length: ", "X: y\r\n Content-Length : ", "Transfer-Encoding : chunked\r\nX: ",
	} {
		text := a.head(statusOK, fmt.Sprintf("%s%d\r\n", line, len(a.body))) + a.body + "excess"
		replies = append(replies, Reply{fmt.Sprintf("length in field line %q", line), text})
	}
	return replies
}
