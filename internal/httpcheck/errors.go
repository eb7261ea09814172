package httpcheck

import "github.com/cockroachdb/errors"

// ErrMalformed means that received bytes are no HTTP/1.1 response.
var ErrMalformed = errors.New("malformed HTTP response; check the peer that sent it")

// maxQuotedBytes limits the part of a response that an error quotes.
const maxQuotedBytes = 80

// malformed returns an error that quotes a part of a response. It quotes no values of fields, which may be confidential.
func malformed[T string | []byte](what string, part T) error {
	return errors.Wrapf(ErrMalformed, "%s %q", what, part[:min(len(part), maxQuotedBytes)])
}
