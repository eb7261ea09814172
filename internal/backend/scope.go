package backend

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// ErrScopeSyntax is returned by ParseScope for text that names no scope.
var ErrScopeSyntax = errors.New("scope is neither pNUMBER nor kESCAPED-KEY; send the scope unchanged")

const (
	partitionPrefix = "p"
	hotKeyPrefix    = "k"
)

// Scope is what a grant covers: one partition or, if HotKey is set, one hot key.
type Scope struct {
	Partition keyspace.Partition
	// HotKey is the key that is owned apart from its partition, or "".
	HotKey string
}

// String returns the form that appears in headers and grant calls.
func (s Scope) String() string {
	if s.HotKey != "" {
		return hotKeyPrefix + url.QueryEscape(s.HotKey)
	}
	return partitionPrefix + strconv.FormatUint(uint64(s.Partition), 10)
}

// ParseScope reads the form that String writes.
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
