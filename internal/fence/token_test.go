package fence

import (
	"testing"

	"pgregory.net/rapid"
)

func drawToken(t *rapid.T, label string) Token {
	small := rapid.Uint64Range(0, 3)
	return Token{
		Generation: small.Draw(t, label+" generation"),
		Term:       small.Draw(t, label+" term"),
		Seq:        small.Draw(t, label+" seq"),
	}
}

// TestStringParseRoundTrip checks that formatting and parsing a token, as done for request headers, preserves it.
func TestStringParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		token := drawToken(t, "token")
		parsed, err := Parse(token.String())
		if err != nil || parsed != token {
			t.Fatalf("Parse(%q) = %v, %v", token.String(), parsed, err)
		}
	})
}

// TestCompareIsTotalOrder checks that Compare is antisymmetric, transitive and consistent with equality.
func TestCompareIsTotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawToken(t, "a"), drawToken(t, "b"), drawToken(t, "c")
		if a.Compare(b) != -b.Compare(a) {
			t.Fatalf("Compare is not antisymmetric for %v and %v", a, b)
		}
		if a.Less(b) && b.Less(c) && !a.Less(c) {
			t.Fatalf("Less is not transitive for %v, %v and %v", a, b, c)
		}
		if (a.Compare(b) == 0) != (a == b) {
			t.Fatalf("Compare and == disagree about %v and %v", a, b)
		}
	})
}

// TestParseRejectsMalformedTokens checks that Parse rejects malformed tokens.
func TestParseRejectsMalformedTokens(t *testing.T) {
	for _, text := range []string{"", "1", "1.2", "1.2.3.4", "1.-2.3", "a.b.c", "1.2.3 "} {
		if token, err := Parse(text); err == nil {
			t.Errorf("Parse(%q) = %v, want an error", text, token)
		}
	}
}
