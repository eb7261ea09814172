package admin

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Role says what the holder of a token may do.
type Role string

// Roles. An operator may do what a reader may.
const (
	RoleReader   Role = "reader"
	RoleOperator Role = "operator"
)

// allows reports whether the role includes the needed one.
func (r Role) allows(needed Role) bool { return r == needed || r == RoleOperator }

// ErrInvalidTokenLine is returned by ReadTokens for a line that cannot be read.
var ErrInvalidTokenLine = errors.New("token line is not NAME TEAM ROLE SHA256; the role is reader or operator, and SHA256 " +
	"is the digest of the token in hexadecimal digits")

// Identity is the holder of a token.
type Identity struct {
	Name string
	Team string
	Role Role
}

// Tokens are the bearer tokens that a gateway knows, by their digest. It is immutable.
type Tokens struct {
	identities []Identity
	digests    [][sha256.Size]byte
}

// ReadTokens reads lines of the form "NAME TEAM ROLE SHA256". Empty lines and lines that start with # are skipped.
// The file holds no token, so that reading it does not give access.
func ReadTokens(r io.Reader) (*Tokens, error) {
	tokens := &Tokens{}
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := tokens.add(strings.Fields(line)); err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
	}
	return tokens, errors.Wrap(lines.Err(), "read tokens")
}

func (t *Tokens) add(fields []string) error {
	if len(fields) != 4 {
		return ErrInvalidTokenLine
	}
	identity := Identity{Name: fields[0], Team: fields[1], Role: Role(fields[2])}
	digest, err := hex.DecodeString(fields[3])
	isRole := identity.Role == RoleReader || identity.Role == RoleOperator
	if err != nil || len(digest) != sha256.Size || !isRole || !config.IsName(identity.Name) || !config.IsName(identity.Team) {
		return ErrInvalidTokenLine
	}
	t.identities = append(t.identities, identity)
	t.digests = append(t.digests, [sha256.Size]byte(digest))
	return nil
}

// Lookup returns the holder of the token. The time it takes does not depend on which token matches, or how well.
func (t *Tokens) Lookup(token string) (Identity, bool) {
	if t == nil {
		return Identity{}, false
	}
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.digests {
		equal := subtle.ConstantTimeCompare(digest[:], t.digests[i][:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Identity{}, false
	}
	return t.identities[found], true
}
