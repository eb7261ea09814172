package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/hedge"
)

const (
	hedgePercent = 10
	// hedgeSlow is how long the server takes that is stuck.
	hedgeSlow = 3 * time.Second
)

// hedgeFixture returns a fixture with two servers that allows hedged requests, and knows that responses take 20 ms at most.
func hedgeFixture(t *testing.T, handler http.HandlerFunc) *fixture {
	t.Helper()
	f := newFixture(t, newBackend(t, handler), newBackend(t, handler))
	*f.hedges = *NewHedges(hedge.Settings{Percent: hedgePercent})
	for range 200 {
		f.hedges.observe("s", 20*time.Millisecond)
		f.hedges.begin("s")
	}
	return f
}

// Guards against waiting for a server that is stuck although another one has room, and against a first copy that goes on.
func TestHedgedRequest(t *testing.T) {
	var arrivals, canceled atomic.Int64
	f := hedgeFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1) == 1 {
			select {
			case <-r.Context().Done():
				canceled.Add(1)
				return
			case <-time.After(hedgeSlow):
			}
		}
		signed(w, 200, "ok")
	})
	conn := f.dial(t)
	started := time.Now()
	conn.send("GET", "/read/x", "a")
	if response, body := conn.receive(); response.StatusCode != 200 || body != "ok" {
		t.Fatalf("status %d, body %q", response.StatusCode, body)
	}
	if took := time.Since(started); took > hedgeSlow/2 {
		t.Errorf("response after %v", took)
	}
	for deadline := time.Now().Add(hedgeSlow / 2); canceled.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the first copy goes on")
		}
	}
	if arrivals.Load() != 2 {
		t.Errorf("%d arrivals, want 2", arrivals.Load())
	}
}

// Guards against a second copy of a request that may not be repeated, without a setting, beyond the allowed share, without a
// free slot, or beyond the retry budget.
func TestNoHedgedRequest(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		prepare func(f *fixture)
	}{
		{"may not be repeated", "/order/x", func(*fixture) {}},
		{"not allowed by operators", "/read/x", func(f *fixture) { *f.hedges = *NewHedges(hedge.Settings{}) }},
		{"allowed for another service only", "/read/x", func(f *fixture) {
			*f.hedges = *NewHedges(hedge.Settings{Services: map[string]float64{"other": hedgePercent}})
		}},
		{"share used up", "/read/x", func(f *fixture) {
			for f.hedges.take("s") {
			}
		}},
		{"retry budget used up", "/read/x", func(f *fixture) {
			for f.budgets.Take("s", 1) {
			}
		}},
	}
	const runTime = 300 * time.Millisecond
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var arrivals atomic.Int64
			f := hedgeFixture(t, func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				time.Sleep(runTime)
				signed(w, 200, "ok")
			})
			c.prepare(f)
			conn := f.dial(t)
			conn.send("GET", c.path, "a")
			if response, _ := conn.receive(); response.StatusCode != 200 || arrivals.Load() != 1 {
				t.Errorf("status %d after %d arrivals, want one", response.StatusCode, arrivals.Load())
			}
		})
	}
}

// Guards against second copies that add load while all servers are full.
func TestNoHedgedRequestUnderOverload(t *testing.T) {
	var arrivals atomic.Int64
	release := make(chan struct{})
	f := hedgeFixture(t, func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		<-release
		signed(w, 200, "ok")
	})
	// Two servers of four slots each.
	const requests = 8
	var conns []*client
	for i := range requests {
		conn := f.dial(t)
		conn.send("POST", "/order/x", fmt.Sprint("order-", i))
		conns = append(conns, conn)
	}
	for arrivals.Load() < requests {
		time.Sleep(time.Millisecond)
	}
	read := f.dial(t)
	read.send("GET", "/read/x", "a")
	for arrivals.Load() < requests+1 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if got := arrivals.Load(); got != requests+1 {
		t.Errorf("%d arrivals of %d requests", got, requests+1)
	}
	close(release)
	for _, conn := range append(conns, read) {
		conn.receive()
	}
}

// Guards against an error for the client because the second copy failed while the first one still runs.
func TestSecondCopyFails(t *testing.T) {
	var arrivals atomic.Int64
	f := hedgeFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1) > 1 {
			abort(w, r)
		}
		time.Sleep(300 * time.Millisecond)
		signed(w, 200, "ok")
	})
	conn := f.dial(t)
	conn.send("GET", "/read/x", "a")
	if response, _ := conn.receive(); response.StatusCode != 200 {
		t.Errorf("status %d", response.StatusCode)
	}
	if arrivals.Load() != 2 {
		t.Errorf("%d arrivals, want 2", arrivals.Load())
	}
}

// Guards against memory that stays reserved for the response of a copy that was canceled.
func TestHedgedRequestReleasesMemory(t *testing.T) {
	var arrivals atomic.Int64
	f := hedgeFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1)%2 == 1 {
			time.Sleep(200 * time.Millisecond)
		}
		signed(w, 200, "ok")
	})
	conn := f.dial(t)
	for i := range 3 {
		conn.send("GET", "/read/x", fmt.Sprint("a", i))
		conn.receive()
	}
	for deadline := time.Now().Add(5 * time.Second); f.server.memory.Reserved() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes stay reserved", f.server.memory.Reserved())
		}
	}
}
