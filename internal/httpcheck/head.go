package httpcheck

import "strings"

// Names of the fields that determine where a body ends.
const (
	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
)

// Head checks the head of a response line by line.
type Head struct {
	lines int
}

// Line checks the next line, without its line end. It reports whether that line, which is empty then, ends the head. Every
// error is an ErrMalformed.
func (h *Head) Line(line string) (ended bool, err error) {
	h.lines++
	switch {
	case h.lines == 1:
		return false, checkStatusLine(line)
	case line == "":
		return true, nil
	case line[0] == ' ' || line[0] == '\t':
		return false, checkContinuation(line)
	}
	return false, checkFieldLine(line)
}

// checkFieldLine checks the name of a field. The values of fields are left to net/http.
func checkFieldLine(line string) error {
	name, _, _ := strings.Cut(line, ":")
	if !isToken(name) {
		return malformedLine("field line", line)
	}
	return nil
}

// checkContinuation checks a line that continues the value of the field before it. If its blanks were part of a name, it would
// set the length of the body.
func checkContinuation(line string) error {
	name, _, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.Trim(name, " \t")) {
	case fieldContentLength, fieldTransferEncoding:
		return malformedLine("continuation line", line)
	}
	return nil
}
