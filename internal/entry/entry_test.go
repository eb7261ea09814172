package entry

import (
	"context"
	"fmt"
	"io"
	"net"
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

// Guards against executing a request twice, rejecting a request as not executed although it may have been, passing on
// an unmarked response as a success, and not retrying a failure that may be retried.
func TestOutcomes(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { signed(w, 200, "ok") }
	notExecuted := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(503)
	}
	failed := func(w http.ResponseWriter, _ *http.Request) { signed(w, 500, "bad") }
	unsigned := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
	otherServer := func(w http.ResponseWriter, _ *http.Request) {
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
		{"order, success", "/order/", ok, 200, 1},
		{"order, server error", "/order/", failed, 500, 1},
		{"order, connection lost", "/order/", abort, 502, 1},
		{"order, unsigned response", "/order/", unsigned, 502, 1},
		{"order, timeout", "/short/", hang, 504, 1},
		{"order, not executed", "/order/", notExecuted, 503, 2},
		{"read, success", "/read/", ok, 200, 1},
		{"read, server error", "/read/", failed, 500, 2},
		{"read, connection lost", "/read/", abort, 502, 2},
		{"read, not executed", "/read/", notExecuted, 503, 2},
		{"different server at the address", "/short/", otherServer, 503, 1},
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

// Guards against exceeding the retry budget when all requests fail.
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

// Guards against a retry budget that grows with attempts of which nothing was sent: a request counts once.
func TestRequestCountsOnce(t *testing.T) {
	b := newBackend(t, abort)
	b.close()
	f := newFixture(t, b)
	f.budgets.SetLimits(retry.WindowLimits{Window: time.Minute, Ratio: 1})
	conn := f.dial(t)
	conn.send("POST", "/order/x", "a")
	if response, _ := conn.receive(); response.StatusCode != 503 {
		t.Errorf("status %d, want 503", response.StatusCode)
	}
	// A single request is not worth a retry, because the ratio is applied with a margin.
	if f.budgets.Take("s", 1) {
		t.Error("one request that was not sent allows a retry")
	}
}

// Guards against responses in the wrong order, and against a pipelined request that waits for the response to its
// predecessor.
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
			t.Fatalf("response %q, want %q", body, want)
		}
	}
}

// Guards against work that continues for a client that has disconnected, even with several pipelined requests; and
// against canceling a non-idempotent request, whose outcome would be unknown.
func TestClientDisconnects(t *testing.T) {
	for path, canceled := range map[string]bool{"/read/": true, "/order/": false} {
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
				if got := <-ended; got != canceled {
					t.Errorf("canceled: %v, want %v", got, canceled)
				}
			}
		})
	}
}

// Guards against a shutdown that cuts off requests, keeps client connections open, or accepts requests that cannot
// complete.
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
		t.Errorf("late request: status %d, close %v", response.StatusCode, response.Close)
	}
	f.server.CloseIdle()
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	close(release)
	if response, body := busy.receive(); body != "ok" || !response.Close {
		t.Errorf("running request: body %q, close %v", body, response.Close)
	}
}

// Guards against responses that are there, and are not sent when the process ends, because an earlier request of their
// connection is still running; and against breaking off a request that keeps none back.
func TestFinishSendsWaitingResponses(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "slow") {
			<-release
		}
		signed(w, 200, r.URL.Path)
	})
	f := newFixture(t, b)
	pipelined, alone := f.dial(t), f.dial(t)
	alone.send("GET", "/read/slow", "a")
	for i, path := range []string{"/read/slow", "/read/1", "/read/slow", "/read/2"} {
		pipelined.send("GET", path, fmt.Sprint("p", i))
	}
	for b.arrivals.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	f.server.Drain()
	f.server.Finish()
	for _, want := range []struct {
		status int
		body   string
	}{{502, ""}, {200, "/read/1"}, {502, ""}, {200, "/read/2"}} {
		if response, body := pipelined.receive(); response.StatusCode != want.status || want.status == 200 && body != want.body {
			t.Errorf("status %d, body %q, want %d, %q", response.StatusCode, body, want.status, want.body)
		}
	}
	alone.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := alone.reader.ReadByte(); !isTimeout(err) {
		t.Errorf("request that keeps no response back: %v, want none yet", err)
	}
}

// onceListener accepts one connection. accepting receives a value for each call of Accept.
type onceListener struct {
	net.Listener
	accepting chan struct{}
	accepted  bool
}

func (l *onceListener) Accept() (net.Conn, error) {
	l.accepting <- struct{}{}
	if l.accepted {
		return nil, net.ErrClosed
	}
	l.accepted = true
	return l.Listener.Accept()
}

// Guards against a stop that misses a connection which was accepted just before, and cuts off its request.
func TestAcceptedConnectionIsCounted(t *testing.T) {
	f := newFixture(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	once := &onceListener{Listener: listener, accepting: make(chan struct{})}
	go f.server.Serve(once)
	<-once.accepting
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-once.accepting
	if got := f.server.Connections(); got != 1 {
		t.Fatalf("%d connections counted when the next one is accepted, want 1", got)
	}
}

// Guards against a shutdown that closes a connection while a request arrives on it, and against one that ends without
// an answer to a request that has not arrived completely.
func TestStopWhileRequestArrives(t *testing.T) {
	const request = "POST /order/x HTTP/1.1\r\nHost: h\r\nId: a\r\nPatience: 60s\r\nContent-Length: 4\r\n\r\nabcd"
	for _, sent := range []int{1, 30, len(request) - 2} {
		for _, completed := range []bool{true, false} {
			t.Run(fmt.Sprint(sent, completed), func(t *testing.T) {
				b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { signed(w, 200, "ok") })
				f := newFixture(t, b)
				conn := f.dial(t)
				io.WriteString(conn.conn, request[:sent])
				for f.server.reading() == 0 {
					time.Sleep(time.Millisecond)
				}
				f.server.Drain()
				f.server.CloseIdle()
				want := http.StatusRequestTimeout
				if completed {
					io.WriteString(conn.conn, request[sent:])
					want = http.StatusOK
				} else {
					// The body has a time limit of its own, so the first call may be too early.
					go func() {
						for f.server.Connections() > 0 {
							f.server.AbortReads()
							time.Sleep(time.Millisecond)
						}
					}()
				}
				if response, _ := conn.receive(); response.StatusCode != want || !response.Close {
					t.Errorf("status %d, close %v, want %d", response.StatusCode, response.Close, want)
				}
			})
		}
	}
}

// Guards against reporting that a route does not exist while the gateway has no configuration.
func TestNoConfiguration(t *testing.T) {
	f := newFixture(t)
	f.view.Store(&snapshot.Snapshot{})
	conn := f.dial(t)
	conn.send("GET", "/read/x", "a")
	if response, _ := conn.receive(); response.StatusCode != 503 {
		t.Fatalf("status %d, want 503", response.StatusCode)
	}
}

// Guards against forwarding requests that exceed the limits, or bytes that are not an HTTP request.
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
		{"not a request", "hello\r\n\r\n", 400},
		{"two Content-Length headers", "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
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
		t.Fatalf("%d requests were forwarded", b.arrivals.Load())
	}
}

// Guards against giving a backend server more time than the client has left, and against forwarding hop-by-hop headers.
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

// Guards against canceling an attempt for a retry that the retry budget does not allow.
func TestAttemptTimerKeepsToRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := idleDispatcher()
		handler := &Handler{Options: Options{
			Dispatcher:   dispatcher,
			Clock:        func() time.Duration { return 0 },
			RetryBudgets: NewRetryBudgets(retry.WindowLimits{Window: time.Minute}, func() time.Duration { return 0 }),
			ShuttingDown: func() bool { return false },
			Metrics:      observe.New(),
		}}
		route := &routing.Route{Name: "read", Idempotent: true, MaxAttempts: 2, Target: time.Millisecond}
		f := &forwarder{handler: handler, request: &request{}, route: route, gateways: 1}
		f.acquireRequest.Service, f.acquireRequest.Deadline, f.acquireRequest.Target = "s", time.Hour, time.Second
		if !dispatcher.HasRoom(&f.acquireRequest) {
			t.Fatal("there is no room for a retry, which would prevent it too")
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		timer := f.startAttemptTimer(&dispatch.Reservation{Expected: time.Millisecond}, cancel)
		time.Sleep(time.Minute)
		timer.stop()
		if ctx.Err() != nil || f.retryGranted {
			t.Fatal("attempt was canceled without a retry budget")
		}
	})
}
