package config

import (
	"path"
	"strings"
)

// subtreeSuffix ends the pattern of a rule that matches a path and all paths below it.
const subtreeSuffix = "/**"

// Matches reports whether the rule applies to a request. requestPath is the path without the query.
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

// IsIdempotent reports whether a request of the service may be executed more than once. requestPath is the path without
// the query. A path that a backend server could normalize to another one, because it has segments that are empty or
// start with a dot, backslashes or escaped separators, is never idempotent.
func (s *Service) IsIdempotent(method, requestPath string) bool {
	if !isUnambiguousPath(requestPath) {
		return false
	}
	for _, rule := range s.Idempotent {
		if rule.Matches(method, requestPath) {
			return true
		}
	}
	return false
}

// isUnambiguousPath reports whether all servers interpret the path in the same way.
func isUnambiguousPath(requestPath string) bool {
	if strings.Contains(requestPath, "//") || strings.Contains(requestPath, "/.") || strings.Contains(requestPath, `\`) {
		return false
	}
	for {
		_, escaped, found := strings.Cut(requestPath, "%")
		if !found {
			return true
		}
		if len(escaped) < 2 || isAmbiguousEscape(escaped[:2]) {
			return false
		}
		requestPath = escaped
	}
}

// isAmbiguousEscape reports whether the percent-encoded byte is a dot, slash, backslash or percent sign, which servers
// may or may not decode before they resolve the path.
func isAmbiguousEscape(hex string) bool {
	switch strings.ToLower(hex) {
	case "2e", "2f", "5c", "25":
		return true
	default:
		return false
	}
}
