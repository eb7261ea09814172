// Package malformed has answers of a faulty peer that are no whole HTTP/1.1 responses although they resemble one, and unusual
// answers that are. Tests and the fault soak send them.
package malformed

import "fmt"

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
	return answer{header, body}.statusCodes()
}

func (a answer) statusCodes() []Reply {
	var replies []Reply
	for _, code := range []string{"000", "001", "020", "099", "101", "600", "999", "20", "2000", "+20", "-20", "2x0", ""} {
		replies = append(replies, Reply{fmt.Sprintf("status %q", code), a.withLength("HTTP/1.1 "+code+" OK", "")})
	}
	return replies
}
