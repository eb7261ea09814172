package malformed

import (
	"fmt"
	"strings"
)

// chunked returns an answer in one chunk with further lines in its head and its trailer section.
func (a answer) chunked(lines, trailers string) string {
	return a.head(statusOK, lines+"Transfer-Encoding: chunked\r\n") + a.chunk() + "0\r\n" + trailers + "\r\n"
}

func (a answer) chunk() string { return fmt.Sprintf("%x\r\n%s\r\n", len(a.body), a.body) }

// longHeadBytes is more than the read buffer of a connection holds.
const longHeadBytes = 12 << 10

// Unusual returns whole responses in a form that is rare. Each has status 200, the header lines and the body.
func Unusual(header, body string) []Reply {
	a := answer{header, body}
	plain := a.withLength(statusOK, "")
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	replies := []Reply{
		{Name: "no reason", Text: a.withLength("HTTP/1.1 200 ", "")},
		{Name: "no reason and no blank", Text: a.withLength("HTTP/1.1 200", "")},
		{Name: "two blanks", Text: a.withLength("HTTP/1.1  200 OK", "")},
		{Name: "reason with tabs and other letters", Text: a.withLength("HTTP/1.1 200 All\tgo\xf3d (\xc3\xa9)", "")},
		{Name: "HTTP/1.0", Text: a.withLength("HTTP/1.0 200 OK", "")},
		{Name: "HTTP/1.0 without a length", Text: a.head("HTTP/1.0 200 OK", "") + body, NoLength: true},
		{Name: "HTTP/1.2", Text: a.withLength("HTTP/1.2 200 OK", "")},
		{Name: "no length", Text: a.head(statusOK, "") + body, NoLength: true},
		{Name: "line feeds", Text: strings.ReplaceAll(a.head(statusOK, length), "\r\n", "\n") + body},
		{Name: "interim response", Text: "HTTP/1.1 100 Continue\r\n\r\n" + plain},
		{Name: "two interim responses", Text: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + plain},
		{Name: "long head", Text: a.withLength(statusOK, strings.Repeat("X-Long: "+strings.Repeat("y", 100)+"\r\n", longHeadBytes/100))},
		{Name: "long field", Text: a.withLength(statusOK, "X-Long: "+strings.Repeat("y", longHeadBytes)+"\r\n")},
		{Name: "length twice", Text: a.withLength(statusOK, length)},
		{Name: "upper-case coding", Text: a.head(statusOK, "Transfer-Encoding: CHUNKED\r\n") + a.chunk() + "0\r\n\r\n"},
		{Name: "chunks and their length", Text: a.chunked(length, "")},
		{Name: "trailers", Text: a.chunked("Trailer: X-Sum\r\n", "X-Sum: 12\r\nX-Other: a b\r\n")},
		{Name: "chunk extensions", Text: a.head(statusOK, "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x;a=b;c=\"d\"\r\n%s\r\n0;e\r\n\r\n", len(body), body)},
		{Name: "zeros before a chunk size", Text: a.head(statusOK, "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("000%X\r\n%s\r\n000\r\n\r\n", len(body), body)},
		{Name: "a chunk a byte", Text: a.head(statusOK, "Transfer-Encoding: chunked\r\n") + chunkPerByte(body)},
	}
	for _, line := range []string{
		"x-lower:y", "X-Blanks: \t y \t ", "X-Empty:", "X-!#$%&'*+.^_`|~9: y", "X-Colons: a:b::c", "X-Letters: \xe9\xc3\xa9", "X-Tab: a\tb",
		"X-Folded: a\r\n b", "X-Folded: Mon,\r\n\t07 Dec 2026 10:20:30 GMT", "X-Twice: 1\r\nX-Twice: 2", "X-Folded:\r\n 12:30", "X-Folded: a\r\n http://x/",
	} {
		replies = append(replies, Reply{Name: fmt.Sprintf("field line %q", line), Text: a.withLength(statusOK, line+"\r\n")})
	}
	return replies
}

func chunkPerByte(body string) string {
	var chunks strings.Builder
	for i := range len(body) {
		fmt.Fprintf(&chunks, "1\r\n%s\r\n", body[i:i+1])
	}
	return chunks.String() + "0\r\n\r\n"
}
