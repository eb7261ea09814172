// Package fence defines fencing tokens, which order the grants of ownership.
package fence

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrTokenSyntax is returned by Parse for text that is not a token.
var ErrTokenSyntax = errors.New("fencing token is not of the form GENERATION.TERM.SEQ; send the token unchanged")

// Token orders grants of ownership. A greater token supersedes a smaller one.
type Token struct {
	// Generation grows by compare-and-swap in the store, once per start or recovery of a cell.
	Generation uint64
	// Term grows each time the holder of a cell changes without the store.
	Term uint64
	// Seq grows with each grant of one term.
	Seq uint64
}

// Compare returns -1, 0 or +1 as t is before, equal to or after other.
func (t Token) Compare(other Token) int {
	return cmp.Or(
		cmp.Compare(t.Generation, other.Generation),
		cmp.Compare(t.Term, other.Term),
		cmp.Compare(t.Seq, other.Seq),
	)
}

// Less reports whether t is before other.
func (t Token) Less(other Token) bool { return t.Compare(other) < 0 }

// IsZero reports whether t was never issued.
func (t Token) IsZero() bool { return t == Token{} }

// String returns the token as GENERATION.TERM.SEQ.
func (t Token) String() string {
	return fmt.Sprintf("%d.%d.%d", t.Generation, t.Term, t.Seq)
}

// Parse reads the form that String writes.
func Parse(text string) (Token, error) {
	fields := strings.Split(text, ".")
	if len(fields) != 3 {
		return Token{}, errors.Wrapf(ErrTokenSyntax, "token %q", text)
	}
	var numbers [3]uint64
	for i, field := range fields {
		n, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return Token{}, errors.Wrapf(ErrTokenSyntax, "token %q", text)
		}
		numbers[i] = n
	}
	return Token{Generation: numbers[0], Term: numbers[1], Seq: numbers[2]}, nil
}
