package httpcheck

import (
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/httpstatus"
)

// protocolPrefix begins the status line, and is followed by the minor version.
const protocolPrefix = "HTTP/1."

// parseStatusLine checks the first line of a response and returns its status. Several blanks before the status, and no reason, are allowed.
func parseStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, protocolPrefix)
	if !ok || len(minor) != 1 || minor < "0" || minor > "9" {
		return 0, malformed("protocol in the status line", line)
	}
	text, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(text)
	if err != nil || !httpstatus.IsFinal(status) && !httpstatus.IsInterim(status) {
		return 0, malformed("status in the status line", line)
	}
	if strings.ContainsFunc(reason, isControl) {
		return 0, malformed("reason in the status line", line)
	}
	return status, nil
}
