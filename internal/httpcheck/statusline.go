package httpcheck

import (
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/httpstatus"
)

// protocolPrefix begins the status line, and is followed by the minor version.
const protocolPrefix = "HTTP/1."

// checkStatusLine checks the first line of a response. Several blanks before the status, and no reason, are allowed.
func checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, protocolPrefix)
	if !ok || len(minor) != 1 || minor < "0" || minor > "9" {
		return malformedLine("protocol in the status line", line)
	}
	text, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(text)
	if err != nil || !httpstatus.IsFinal(status) && !httpstatus.IsInterim(status) {
		return malformedLine("status in the status line", line)
	}
	if strings.ContainsFunc(reason, isControl) {
		return malformedLine("reason in the status line", line)
	}
	return nil
}

// isControl reports whether a character must not stand in a reason.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
