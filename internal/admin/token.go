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

// Role determines which requests the holder of a token is permitted to make.
type Role string

// Values of Role. RoleOperator includes the permissions of RoleReader.
const (
	RoleReader   Role = "reader"
	RoleOperator Role = "operator"
)

// includes reports whether the role has the permissions of the required role.
func (r Role) includes(required Role) bool { return r == required || r == RoleOperator }

// ErrInvalidTokenLine is returned by ReadTokens for a malformed line.
var ErrInvalidTokenLine = errors.New("token line does not have the form NAME TEAM ROLE SHA256; ROLE is reader or operator, " +
	"SHA256 is the digest of the token in hexadecimal digits")

// Identity describes the holder of a token.
type Identity struct {
	Name string
	Team string
	Role Role
}

// Tokens is the set of bearer tokens that a gateway accepts, stored as digests. It is immutable.
type Tokens struct {
	identities []Identity
	digests    [][sha256.Size]byte
}

// ReadTokens parses lines of the form "NAME TEAM ROLE SHA256". Empty lines and lines that start with # are skipped.
// The file contains only digests of tokens, so that read access to it does not grant access to the API.
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

// Lookup returns the holder of the token. Its running time does not depend on which token matches or on how many bytes
// are equal.
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
