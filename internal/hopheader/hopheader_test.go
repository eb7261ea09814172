package hopheader

import (
	"net/http"
	"testing"
)

// Guards against headers of one connection that reach the next one, in any spelling, and against others that are lost.
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
		t.Fatalf("left: %v", header)
	}
}
