package ctl

import (
	"context"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// session holds the state of one command invocation.
type session struct {
	ctx     context.Context
	program *Program
	options options
}

func newSession(ctx context.Context, p *Program) *session { return &session{ctx: ctx, program: p} }

// readToken returns the bearer token from the token file, or else from PLANK_TOKEN.
func (s *session) readToken() (string, error) {
	if s.options.TokenFile == "" {
		if token := s.program.Getenv("PLANK_TOKEN"); token != "" {
			return token, nil
		}
		return "", newUsageError("no token; use --token-file or set PLANK_TOKEN")
	}
	text, err := os.ReadFile(string(s.options.TokenFile))
	if err != nil {
		return "", errors.Wrap(err, "cannot read the token file; choose a readable one with --token-file")
	}
	return strings.TrimSpace(string(text)), nil
}
