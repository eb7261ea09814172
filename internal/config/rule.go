package config

import (
	"path"
	"strings"
)

const subtreeSuffix = "/**"

// Matches reports whether the rule covers a request.
func (r Rule) Matches(method, requestPath string) bool {
	if r.Method != "*" && r.Method != method {
		return false
	}
	if subtree, ok := strings.CutSuffix(r.Path, subtreeSuffix); ok {
		return requestPath == subtree || strings.HasPrefix(requestPath, subtree+"/")
	}
	matched, err := path.Match(r.Path, requestPath)
	return err == nil && matched
}

// IsIdempotent reports whether a request of the service may run more than once.
// requestPath is the path without the query. A path that a backend server could read as another one, because it has
// segments that are empty or start with a dot, backslashes or escaped separators, is never idempotent.
func (s *Service) IsIdempotent(method, requestPath string) bool {
	if !isPlainPath(requestPath) {
		return false
	}
	for _, rule := range s.Idempotent {
		if rule.Matches(method, requestPath) {
			return true
		}
	}
	return false
}

// isPlainPath reports whether every server reads the path in the same way.
func isPlainPath(requestPath string) bool {
	if strings.Contains(requestPath, "//") || strings.Contains(requestPath, "/.") || strings.Contains(requestPath, `\`) {
		return false
	}
	for {
		_, escaped, found := strings.Cut(requestPath, "%")
		if !found {
			return true
		}
		if len(escaped) < 2 || isSeparator(escaped[:2]) {
			return false
		}
		requestPath = escaped
	}
}

// isSeparator reports whether an escaped byte is a dot, a slash, a backslash or a percent sign.
func isSeparator(hex string) bool {
	switch strings.ToLower(hex) {
	case "2e", "2f", "5c", "25":
		return true
	default:
		return false
	}
}
