package backend_test

import (
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

func token(seq uint64) fence.Token { return fence.Token{Generation: 1, Term: 1, Seq: seq} }

// FuzzParseScope checks that formatting and parsing a scope preserves it.
func FuzzParseScope(f *testing.F) {
	for _, seed := range []string{"p0", "p65535", "p65536", "k", "ka%20b", "k%zz", "x1", "p-1", "p00017"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		scope, err := backend.ParseScope(text)
		if err != nil {
			return
		}
		again, err := backend.ParseScope(scope.String())
		if err != nil || again != scope {
			t.Fatalf("ParseScope(%q) = %v, which parses back as %v (error %v)", text, scope, again, err)
		}
	})
}
