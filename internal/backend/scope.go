package backend

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// ErrScopeSyntax is returned by ParseScope for malformed scopes.
var ErrScopeSyntax = errors.New("scope is neither pNUMBER nor kESCAPED-KEY; send the scope unchanged")

const (
	partitionPrefix = "p"
	hotKeyPrefix    = "k"
)

// Scope is the unit of a grant: a partition or, if HotKey is set, a single hot key.
type Scope struct {
	Partition keyspace.Partition
	// HotKey is a key that is owned independently of its partition, or "".
	HotKey string
}

// String formats the scope as in headers and grant calls.
func (s Scope) String() string {
	if s.HotKey != "" {
		return hotKeyPrefix + url.QueryEscape(s.HotKey)
	}
	return partitionPrefix + strconv.FormatUint(uint64(s.Partition), 10)
}

// ParseScope parses a scope in the format of String.
func ParseScope(text string) (Scope, error) {
	if escaped, ok := strings.CutPrefix(text, hotKeyPrefix); ok {
		return parseHotKey(text, escaped)
	}
	digits, ok := strings.CutPrefix(text, partitionPrefix)
	if !ok {
		return Scope{}, errors.Wrapf(ErrScopeSyntax, "scope %q", text)
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || n >= keyspace.MaxPartitions {
		return Scope{}, errors.Wrapf(ErrScopeSyntax, "scope %q", text)
	}
	return Scope{Partition: keyspace.Partition(n)}, nil
}

func parseHotKey(text, escaped string) (Scope, error) {
	key, err := url.QueryUnescape(escaped)
	if err != nil || key == "" {
		return Scope{}, errors.Wrapf(ErrScopeSyntax, "scope %q", text)
	}
	return Scope{HotKey: key}, nil
}
