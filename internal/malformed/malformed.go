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
	// NoLength is set if only the end of the connection tells where the body ends.
	NoLength bool
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

// Whole returns a whole response with a body.
func Whole(header, body string) Reply {
	return Reply{Name: fmt.Sprintf("body %q", body), Text: answer{header, body}.withLength(statusOK, "")}
}

// Replies returns answers that are no whole responses. header has the lines by which an answer belongs to its request.
func Replies(header, body string) []Reply {
	a := answer{header, body}
	return slices.Concat(a.statusCodes(), a.statusLines(), a.fieldNames(), a.fieldValues(), a.misreadLengths(), a.lengths(), a.codings(), a.chunks(), a.trailers())
}

// statusCodes returns answers whose status no exchange has.
func (a answer) statusCodes() []Reply {
	var replies []Reply
	for _, code := range []string{"000", "001", "020", "099", "101", "600", "999", "20", "2000", "+20", "-20", "2x0", ""} {
		replies = append(replies, Reply{Name: fmt.Sprintf("status %q", code), Text: a.withLength("HTTP/1.1 "+code+" OK", "")})
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
		replies = append(replies, Reply{Name: fmt.Sprintf("status line %q", line), Text: a.withLength(line, "")})
	}
	return replies
}

// fieldNames returns answers with a line whose name is none.
func (a answer) fieldNames() []Reply {
	var replies []Reply
	for _, line := range []string{
		"X Y: z", "X : y", "X\t: y", ": y", "no field", "X(Y): z", "X\"Y: z", "X@Y: z", "X\xe9: y", "X\x00: y", "X\x1f: y", "X\rY: z", "X\x7f: y",
	} {
		replies = append(replies, Reply{Name: fmt.Sprintf("field line %q", line), Text: a.withLength(statusOK, line+"\r\n")})
	}
	head, _ := strings.CutPrefix(a.withLength(statusOK, ""), statusOK+"\r\n")
	return append(replies, Reply{Name: "blank before the first field", Text: statusOK + "\r\n " + head})
}

// fieldValues returns answers with a control byte in the value of a field.
func (a answer) fieldValues() []Reply {
	var replies []Reply
	for _, line := range []string{"X: y\x00", "X: \x01y", "X: y\rz", "X: y\x7f", "X: y\x1bz", "X: \vy", "X: y\r\n z\x00"} {
		replies = append(replies, Reply{Name: fmt.Sprintf("value in field line %q", line), Text: a.withLength(statusOK, line+"\r\n")})
	}
	return replies
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
		replies = append(replies, Reply{Name: fmt.Sprintf("length in field line %q", line), Text: text})
	}
	return replies
}

// lengths returns answers whose length is none, or another one than that of the body.
func (a answer) lengths() []Reply {
	var replies []Reply
	for _, format := range []string{
		"Content-Length: -%d", "Content-Length: +%d", "Content-Length: 0x%x", "Content-Length: %d.0", "Content-Length: %d x", "Content-Length: %d, 1",
		"Content-Length: %d\r\nContent-Length: 1", "Content-Length: 1\r\nContent-Length: %d", "Content-Length: 99999999999999999999%d",
		"Content-Length: \"%d\"", "X: %d\r\nContent-Length:", "Content-Length: 1%d",
	} {
		line := fmt.Sprintf(format, len(a.body))
		replies = append(replies, Reply{Name: fmt.Sprintf("length %q", line), Text: a.head(statusOK, line+"\r\n") + a.body})
	}
	return replies
}

// codings returns answers with a transfer coding other than chunks, and with chunks and another length.
func (a answer) codings() []Reply {
	var replies []Reply
	for _, line := range []string{
		"Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: chunked, chunked",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: xchunked", "Transfer-Encoding: \"chunked\"",
		"Transfer-Encoding:", "Transfer-Encoding: identity",
		"Transfer-Encoding: chunked\r\nContent-Length: 1", "Content-Length: 1\r\nTransfer-Encoding: chunked", "Content-Length: x\r\nTransfer-Encoding: chunked",
	} {
		replies = append(replies, Reply{Name: fmt.Sprintf("coding %q", line), Text: a.head(statusOK, line+"\r\n") + a.chunk() + "0\r\n\r\n"})
	}
	return append(replies, Reply{Name: "chunks in HTTP/1.0", Text: strings.Replace(a.chunked("", ""), "HTTP/1.1", "HTTP/1.0", 1)})
}

// chunks returns answers with malformed chunks.
func (a answer) chunks() []Reply {
	var replies []Reply
	for _, format := range []string{
		"-%x\r\n%s\r\n0\r\n\r\n", "0x%x\r\n%s\r\n0\r\n\r\n", " %x\r\n%s\r\n0\r\n\r\n", "%x\n%s\r\n0\r\n\r\n", "%x\r\n%s\n0\r\n\r\n",
		"%x\r\n%s0\r\n\r\n", "1%x\r\n%s\r\n0\r\n\r\n", "%x\r\n%s!\r\n0\r\n\r\n", "%x\r\n%s\r\n", "%x\r\n%s\r\n0\r\n", "%x\r\n%s\r\n\r\n\r\n",
		"%xg\r\n%s\r\n0\r\n\r\n", "fffffffffffffffff%x\r\n%s\r\n0\r\n\r\n", "%x\x00\r\n%s\r\n0\r\n\r\n", "\r\n%x\r\n%s\r\n0\r\n\r\n",
	} {
		text := fmt.Sprintf(format, len(a.body), a.body)
		replies = append(replies, Reply{Name: fmt.Sprintf("chunks %q", format), Text: a.head(statusOK, "Transfer-Encoding: chunked\r\n") + text})
	}
	return replies
}

// trailers returns answers in chunks with a malformed trailer section.
func (a answer) trailers() []Reply {
	var replies []Reply
	for _, line := range []string{"X Y: z", "X : y", "X\x01: y", ": y", "no field", "X: y\x00", "X: y\rz"} {
		replies = append(replies, Reply{Name: fmt.Sprintf("trailer %q", line), Text: a.chunked("", line+"\r\n")})
	}
	return replies
}
