package entry

import (
	"net/http"
	"testing"
)

// Guards against requests to a server after its response has said that it leaves, and against heeding a response that does
// not repeat the id of its request.
func TestLeavingNotice(t *testing.T) {
	for _, c := range []struct {
		name string
		id   string
		want int
	}{
		{"own response", "a", http.StatusServiceUnavailable},
		{"response without an id", "", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Leaving", "1")
				if c.id == "" {
					w.Header().Del("Id")
				}
				signed(w, 200, "ok")
			})
			f := newFixture(t, b)
			first, second := f.dial(t), f.dial(t)
			first.send("GET", "/read/x", c.id)
			if response, _ := first.receive(); response.StatusCode != http.StatusOK {
				t.Fatalf("status %d of the first request", response.StatusCode)
			}
			second.send("GET", "/read/x", c.id)
			if response, _ := second.receive(); response.StatusCode != c.want {
				t.Errorf("status %d of the next request, want %d", response.StatusCode, c.want)
			}
		})
	}
}
