package httpcheck

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/httpstatus"
)

// Names of the fields that determine where a body ends.
const (
	fieldContentLength    = "Content-Length"
	fieldTransferEncoding = "Transfer-Encoding"
)

// blanks are the characters that may stand around the value of a field.
const blanks = " \t"

// Head checks the head of a response line by line.
type Head struct {
	lines  int
	status int
	// http10 is set if the response is in HTTP/1.0, which has no transfer codings.
	http10 bool
	// coded is set if the body has a transfer coding, which determines its length.
	coded bool
	// length is the length of the body that the head states, if it does. It is -1 if it states none that is valid, or several.
	length    int64
	hasLength bool
}

// Line checks the next line, without its line end. It reports whether that line, which is empty then, ends the head. Every
// error is an ErrMalformed.
func (h *Head) Line(line []byte) (ended bool, err error) {
	h.lines++
	switch {
	case h.lines == 1:
		return false, h.statusLine(line)
	case len(line) == 0:
		return true, h.checkCoding()
	case line[0] == ' ' || line[0] == '\t':
		return false, checkContinuation(line)
	}
	return false, h.fieldLine(line)
}

// IsInterim reports whether another response follows.
func (h *Head) IsInterim() bool { return httpstatus.IsInterim(h.status) }

// fieldLine checks the name of a field. Its value is left to net/http.
func (h *Head) fieldLine(line []byte) error {
	name, value, _ := bytes.Cut(line, colon)
	switch {
	case !isToken(name):
		return malformed("name of a field", name)
	case isName(name, fieldContentLength):
		h.addLength(bytes.Trim(value, blanks))
	case isName(name, fieldTransferEncoding):
		h.coded = true
	}
	return nil
}

// invalidLength is the length of a body if it is not certain what the head states.
const invalidLength = -1

func (h *Head) addLength(text []byte) {
	length, err := strconv.ParseUint(string(text), 10, 63)
	if err != nil || h.hasLength && h.length != int64(length) {
		h.length, h.hasLength = invalidLength, true
		return
	}
	h.length, h.hasLength = int64(length), true
}

// checkContinuation checks a line that continues the value of the field before it. If its blanks were part of a name, it would
// set the length of the body.
func checkContinuation(line []byte) error {
	name, _, _ := bytes.Cut(line, colon)
	trimmed := bytes.Trim(name, blanks)
	if isName(trimmed, fieldContentLength) || isName(trimmed, fieldTransferEncoding) {
		return malformed("continuation line with the name of a field", name)
	}
	return nil
}

// checkCoding rejects a transfer coding that net/http would ignore, so that the body would include its framing.
func (h *Head) checkCoding() error {
	if h.coded && h.http10 {
		return errors.Wrap(ErrMalformed, "HTTP/1.0 response with a transfer coding")
	}
	return nil
}

// CheckLength checks the length of a body with a transfer coding, in bytes, against the one that the head states besides. Without a
// coding, net/http does that.
func (h *Head) CheckLength(length int) error {
	if h.coded && h.hasLength && h.length != int64(length) {
		return errors.Wrapf(ErrMalformed, "body of %d bytes in chunks, stated as %d", length, h.length)
	}
	return nil
}

// isName reports whether the name of a field is the given one. Case does not matter.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}
