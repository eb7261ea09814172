package httpcheck

import "github.com/cockroachdb/errors"

// ErrMalformed means that received bytes are no HTTP/1.1 response.
var ErrMalformed = errors.New("malformed HTTP response; check the peer that sent it")

// maxQuotedBytes limits the part of a line that an error quotes.
const maxQuotedBytes = 80

// malformedLine returns an error about a line.
func malformedLine(what, line string) error {
	return errors.Wrapf(ErrMalformed, "%s %q", what, line[:min(len(line), maxQuotedBytes)])
}
