package config

import (
	"path"
	"strings"
)

const subtreeSuffix = "/**"

// Matches reports whether the rule covers a request.
func (r Rule) Matches(method, requestPath string) bool {
	if r.Method != "*" && !strings.EqualFold(r.Method, method) {
		return false
	}
	if subtree, ok := strings.CutSuffix(r.Path, subtreeSuffix); ok {
		return requestPath == subtree || strings.HasPrefix(requestPath, subtree+"/")
	}
	matched, err := path.Match(r.Path, requestPath)
	return err == nil && matched
}

// IsIdempotent reports whether a request of the service may run more than once.
// requestPath is the path without the query.
func (s *Service) IsIdempotent(method, requestPath string) bool {
	for _, rule := range s.Idempotent {
		if rule.Matches(method, requestPath) {
			return true
		}
	}
	return false
}
