package httpcheck

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/httpstatus"
)

// Names of the fields that determine where a body ends.
const (
	fieldContentLength    = "content-length"
	fieldTransferEncoding = "transfer-encoding"
)

// Head checks the head of a response line by line.
type Head struct {
	lines  int
	status int
	// http10 is set if the response is in HTTP/1.0, which has no transfer codings.
	http10 bool
	// coded is set if the body has a transfer coding, which determines its length.
	coded bool
	// lengths are the lengths of the body that the head states.
	lengths []string
}

// Line checks the next line, without its line end. It reports whether that line, which is empty then, ends the head. Every
// error is an ErrMalformed.
func (h *Head) Line(line string) (ended bool, err error) {
	h.lines++
	switch {
	case h.lines == 1:
		h.http10 = strings.HasPrefix(line, protocolPrefix+"0")
		h.status, err = parseStatusLine(line)
		return false, err
	case line == "":
		return true, h.checkCoding()
	case line[0] == ' ' || line[0] == '\t':
		return false, checkContinuation(line)
	}
	return false, h.fieldLine(line)
}

// IsInterim reports whether another response follows.
func (h *Head) IsInterim() bool { return httpstatus.IsInterim(h.status) }

// fieldLine checks the name of a field. Its value is left to net/http.
func (h *Head) fieldLine(line string) error {
	name, value, _ := strings.Cut(line, ":")
	if !isToken(name) {
		return malformed("name of a field", name)
	}
	switch strings.ToLower(name) {
	case fieldContentLength:
		h.lengths = append(h.lengths, strings.Trim(value, " \t"))
	case fieldTransferEncoding:
		h.coded = true
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
	if !h.coded {
		return nil
	}
	for _, stated := range h.lengths {
		if number, err := strconv.ParseUint(stated, 10, 63); err != nil || number != uint64(length) {
			return errors.Wrapf(ErrMalformed, "body of %d bytes in chunks, stated as %q", length, stated[:min(len(stated), maxQuotedBytes)])
		}
	}
	return nil
}

// checkContinuation checks a line that continues the value of the field before it. If its blanks were part of a name, it would
// set the length of the body.
func checkContinuation(line string) error {
	name, _, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.Trim(name, " \t")) {
	case fieldContentLength, fieldTransferEncoding:
		return malformed("continuation line with the name of a field", name)
	}
	return nil
}
