package hopheader

import (
	"net/http"
	"testing"
)

// FuzzRemove guards against hop-by-hop headers that are forwarded.
func FuzzRemove(f *testing.F) {
	f.Add("X-A, close", "X-A", "1")
	f.Add("te", "TE", "trailers")
	f.Fuzz(func(t *testing.T, connection, name, value string) {
		h := http.Header{"Connection": {connection}, name: {value}, "Keep": {"1"}}
		Remove(h)
		for _, gone := range []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
			if h.Get(gone) != "" {
				t.Fatalf("%s was not removed: %v", gone, h)
			}
		}
	})
}
