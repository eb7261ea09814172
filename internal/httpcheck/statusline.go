package httpcheck

import (
	"bytes"
	"strconv"

	"github.com/sapphireplank/sapphireplank/internal/httpstatus"
)

var (
	// protocolPrefix begins the status line, and is followed by the minor version, one digit.
	protocolPrefix = []byte("HTTP/1.")
	blank          = []byte(" ")
	colon          = []byte(":")
)

// statusLine checks the first line of a response. Several blanks before the status, and no reason, are allowed.
func (h *Head) statusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, blank)
	minor, ok := bytes.CutPrefix(version, protocolPrefix)
	if !ok || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' {
		return malformed("protocol in the status line", line)
	}
	h.http10 = minor[0] == '0'
	text, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), blank)
	status, err := strconv.Atoi(string(text))
	if err != nil || !httpstatus.IsFinal(status) && !httpstatus.IsInterim(status) {
		return malformed("status in the status line", line)
	}
	h.status = status
	if bytes.ContainsFunc(reason, isControl) {
		return malformed("reason in the status line", line)
	}
	return nil
}
