package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/retry"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// Guards against requests that run twice, refusals of requests that may have run, successes that are none, and
// failures that are not tried again although they may be.
func TestOutcomes(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { signed(w, 200, "ok") }
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(503)
	}
	failed := func(w http.ResponseWriter, _ *http.Request) { signed(w, 500, "bad") }
	unsigned := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
	elsewhere := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Instance", "other")
		w.WriteHeader(421)
	}
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	cases := []struct {
		name     string
		path     string
		handler  http.HandlerFunc
		status   int
		arrivals int64
	}{
		{"order, answered", "/order/", ok, 200, 1},
		{"order, failed at the server", "/order/", failed, 500, 1},
		{"order, answer lost", "/order/", abort, 502, 1},
		{"order, answer without a mark", "/order/", unsigned, 502, 1},
		{"order, no answer in time", "/short/", hang, 504, 1},
		{"order, not run", "/order/", notRun, 503, 2},
		{"read, answered", "/read/", ok, 200, 1},
		{"read, failed at the server", "/read/", failed, 500, 2},
		{"read, answer lost", "/read/", abort, 502, 2},
		{"read, not run", "/read/", notRun, 503, 2},
		{"another server at the address", "/short/", elsewhere, 503, 1},
		{"no route", "/other/", ok, 404, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, c.handler)
			f := newFixture(t, b)
			conn := f.dial(t)
			conn.send("POST", c.path+"x", "a")
			response, _ := conn.receive()
			if response.StatusCode != c.status {
				t.Errorf("status %d, want %d", response.StatusCode, c.status)
			}
			if b.arrivals.Load() != c.arrivals {
				t.Errorf("%d arrivals, want %d", b.arrivals.Load(), c.arrivals)
			}
			if (response.StatusCode == 503) != (response.Header.Get("Retry-After") != "") {
				t.Errorf("Retry-After is %q", response.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a retry budget that is exceeded when all requests fail.
func TestRetryBudget(t *testing.T) {
	b := newBackend(t, abort)
	f := newFixture(t, b)
	const requests = 10
	for i := range requests {
		conn := f.dial(t)
		conn.send("GET", "/read/x", fmt.Sprint(i))
		conn.receive()
	}
	if b.arrivals.Load() > requests+budgetSlack {
		t.Fatalf("%d arrivals of %d requests with a budget of %d", b.arrivals.Load(), requests, budgetSlack)
	}
}

// Guards against answers in the wrong order, and against a request that waits for the answer to the one before it.
func TestPipelinedRequests(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "first") {
			<-release
		} else {
			close(release)
		}
		signed(w, 200, r.URL.Path)
	})
	f := newFixture(t, b)
	conn := f.dial(t)
	conn.send("GET", "/read/first", "a")
	conn.send("GET", "/read/second", "b")
	for _, want := range []string{"/read/first", "/read/second"} {
		if _, body := conn.receive(); body != want {
			t.Fatalf("answer %q, want %q", body, want)
		}
	}
}

// Guards against work that goes on for a caller that has left, also one that sent further requests; and against an
// order that is broken off, whose outcome nobody would know.
func TestClientDisconnects(t *testing.T) {
	for path, broken := range map[string]bool{"/read/": true, "/order/": false} {
		t.Run(path, func(t *testing.T) {
			arrived, ended := make(chan struct{}, 4), make(chan bool, 4)
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				arrived <- struct{}{}
				select {
				case <-r.Context().Done():
					ended <- true
				case <-time.After(shortTimeout):
					signed(w, 200, "ok")
					ended <- false
				}
			})
			f := newFixture(t, b)
			conn := f.dial(t)
			conn.send("POST", path+"x", "a")
			conn.send("POST", path+"y", "b")
			<-arrived
			<-arrived
			conn.conn.Close()
			for range 2 {
				if got := <-ended; got != broken {
					t.Errorf("broken off: %v, want %v", got, broken)
				}
			}
		})
	}
}

// Guards against a stop that cuts requests off, keeps callers on their connections, or takes requests that cannot end.
func TestStop(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		signed(w, 200, "ok")
	})
	f := newFixture(t, b)
	busy, idle, late := f.dial(t), f.dial(t), f.dial(t)
	busy.send("GET", "/read/x", "a")
	for b.arrivals.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.server.Drain()
	for f.server.Connections() < 3 {
		time.Sleep(time.Millisecond)
	}
	f.server.RejectRequests()
	late.send("GET", "/read/x", "b")
	if response, _ := late.receive(); response.StatusCode != 503 || !response.Close {
		t.Errorf("late request got %d, close %v", response.StatusCode, response.Close)
	}
	f.server.CloseIdle()
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want its end", err)
	}
	close(release)
	if response, body := busy.receive(); body != "ok" || !response.Close {
		t.Errorf("running request got %q, close %v", body, response.Close)
	}
}

// Guards against a gateway without a configuration that says that a route does not exist.
func TestNoConfiguration(t *testing.T) {
	f := newFixture(t)
	f.view.Store(&snapshot.Snapshot{})
	conn := f.dial(t)
	conn.send("GET", "/read/x", "a")
	if response, _ := conn.receive(); response.StatusCode != 503 {
		t.Fatalf("status %d, want 503", response.StatusCode)
	}
}

// Guards against requests beyond the limits that are passed on, and against bytes that are no request.
func TestLimits(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { signed(w, 200, "ok") })
	f := newFixture(t, b)
	cases := []struct {
		name   string
		text   string
		status int
	}{
		{"long header", "GET /read/x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 16<<10) + "\r\n\r\n", 431},
		{"long body", "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", 413},
		{"no request", "hello\r\n\r\n", 400},
		{"two lengths", "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := f.dial(t)
			fmt.Fprint(conn.conn, c.text)
			if response, _ := conn.receive(); response.StatusCode != c.status || !response.Close {
				t.Fatalf("status %d, close %v, want %d", response.StatusCode, response.Close, c.status)
			}
		})
	}
	if b.arrivals.Load() != 0 {
		t.Fatalf("%d requests were passed on", b.arrivals.Load())
	}
}

// Guards against a backend server that gets more time than the caller has left, or headers of one connection only.
func TestForwardedHeaders(t *testing.T) {
	seen := make(chan http.Header, 1)
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		signed(w, 200, "ok")
	})
	f := newFixture(t, b)
	conn := f.dial(t)
	fmt.Fprint(conn.conn, "GET /read/x HTTP/1.1\r\nHost: h\r\nId: a\r\nPatience: 300ms\r\nConnection: X-One\r\nX-One: 1\r\nX-Two: 2\r\n\r\n")
	conn.receive()
	header := <-seen
	left, err := time.ParseDuration(header.Get("Left"))
	if err != nil || left > 300*time.Millisecond || left <= 0 {
		t.Errorf("time left %q", header.Get("Left"))
	}
	if header.Get("X-One") != "" || header.Get("X-Two") != "2" || header.Get("Instance") != "b0" {
		t.Errorf("headers %v", header)
	}
}

// Guards against a request that is broken off to be sent again although the retry budget refuses that.
func TestAttemptTimerKeepsToRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := &Handler{Options: Options{
			Clock:        func() time.Duration { return 0 },
			RetryBudgets: NewRetryBudgets(retry.WindowLimits{Window: time.Minute}, func() time.Duration { return 0 }),
			ShuttingDown: func() bool { return false },
			Metrics:      observe.New(),
		}}
		route := &routing.Route{Name: "read", Idempotent: true, MaxAttempts: 2, Target: time.Millisecond}
		forwarding := &forward{handler: handler, route: route, gateway: 1}
		forwarding.demand.Deadline = time.Hour
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := forwarding.startPatience(&dispatch.Reservation{Expected: time.Millisecond}, cancel)
		time.Sleep(time.Minute)
		p.stop()
		if ctx.Err() != nil || forwarding.granted {
			t.Fatal("request was broken off without a budget")
		}
	})
}
