package ctl

import (
	"context"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// session is one run of the program.
type session struct {
	ctx     context.Context
	program *Program
	options options
}

func newSession(ctx context.Context, p *Program) *session { return &session{ctx: ctx, program: p} }

// token returns the bearer token.
func (s *session) token() (string, error) {
	if s.options.TokenFile == "" {
		if token := s.program.Getenv("PLANK_TOKEN"); token != "" {
			return token, nil
		}
		return "", usage("no token; use --token-file or set PLANK_TOKEN")
	}
	text, err := os.ReadFile(string(s.options.TokenFile))
	if err != nil {
		return "", errors.Wrap(err, "read the token; name a readable file with --token-file")
	}
	return strings.TrimSpace(string(text)), nil
}
