package config

import (
	"strings"
	"testing"
)

// Guards against a request that is executed twice because its path matches an idempotent pattern, but a backend server
// normalizes it to another path.
func TestIdempotentRequests(t *testing.T) {
	s := &Service{Idempotent: []Rule{{"GET", "/status/*"}, {"HEAD", "/status/**"}, {"*", "/drafts/**"}, {"POST", "/v[12]/ping"}}}
	cases := map[string]bool{
		"GET /status/7": true, "GET /status": false, "GET /status/7/log": false, "get /status/7": false, "POST /status/7": false,
		"HEAD /status": true, "HEAD /status/7/log": true, "HEAD /statusx": false, "HEAD /stat": false,
		"PUT /drafts/7": true, "PUT /drafts/a%20b": true, "PUT /drafts/../fees": false, "PUT /drafts/%2e%2E/fees": false,
		"PUT /drafts/..%2ffees": false, "PUT /drafts//fees": false, `PUT /drafts/a\b`: false, "PUT /drafts/%252e": false,
		"PUT /drafts/%2": false, "PUT /drafts/%": false, "POST /v1/ping": true, "POST /v3/ping": false,
	}
	for request, want := range cases {
		method, path, _ := strings.Cut(request, " ")
		if got := s.IsIdempotent(method, path); got != want {
			t.Errorf("%s: %v", request, got)
		}
	}
}
