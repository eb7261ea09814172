package hopheader

import (
	"net/http"
	"testing"
)

// Guards against hop-by-hop headers that are forwarded, in any capitalization, and against the removal of end-to-end
// headers.
func TestRemove(t *testing.T) {
	header := http.Header{
		"Connection": {"keep-alive, X-Trace", "close"},
		"Keep-Alive": {"timeout=5"},
		"X-Trace":    {"1"},
		"te":         {"trailers"},
		"Upgrade":    {"h2c"},
		"X-Kept":     {"2"},
	}
	Remove(header)
	if len(header) != 1 || header.Get("X-Kept") != "2" {
		t.Fatalf("remaining headers: %v", header)
	}
}
