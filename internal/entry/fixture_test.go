package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/hedge"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/netdial"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/retry"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// testHeaders implements exchange.Headers with short header names.
type testHeaders struct{}

func (testHeaders) ParseRequest(header http.Header) exchange.RequestMetadata {
	metadata := exchange.RequestMetadata{ID: header.Get("Id")}
	if timeout, err := time.ParseDuration(header.Get("Patience")); err == nil {
		metadata.Timeout, metadata.HasTimeout = timeout, true
	}
	return metadata
}

func (testHeaders) SetForwarded(header http.Header, left time.Duration, instance string) {
	header.Set("Left", left.String())
	header.Set("Instance", instance)
}

func (testHeaders) ParseResponse(_ int, header http.Header) exchange.ResponseMetadata {
	return exchange.ResponseMetadata{
		ID: header.Get("Id"), Signed: header.Get("Sign") != "", NotExecuted: header.Get("Not-Run") != "", Instance: header.Get("Instance"),
		Leaving: header.Get("Leaving") != "",
	}
}

// backend is a fake backend server. Its handler writes the response.
type backend struct {
	addr string
	// close ends the server, so that its address refuses connections.
	close    func()
	arrivals atomic.Int64
}

func newBackend(t testing.TB, handler http.HandlerFunc) *backend {
	t.Helper()
	b := &backend{}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.addr = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.arrivals.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		handler(w, r)
	})}
	go server.Serve(listener)
	b.close = func() { server.Close() }
	t.Cleanup(b.close)
	return b
}

func signed(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Sign", "1")
	w.WriteHeader(status)
	io.WriteString(w, body)
}

// abort closes the connection without a response.
func abort(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// fixture is a Server that forwards to fake backend servers.
type fixture struct {
	addr   string
	server *Server
	// budgets are the retry budgets.
	budgets *RetryBudgets
	hedges  *Hedges
	view    atomic.Pointer[snapshot.Snapshot]
	// dispatcher places the requests.
	dispatcher *dispatch.Dispatcher
}

// addRoute adds a route, and gives the servers this many slots.
func (f *fixture) addRoute(route routing.Route, slots int) {
	view := *f.view.Load()
	config := *view.Routes.Config()
	config.Routes = append(slices.Clip(config.Routes), route)
	service := *view.Services["s"]
	service.Servers = slices.Clone(service.Servers)
	for i := range service.Servers {
		service.Servers[i].Slots = slots
	}
	view.Routes, view.Services = routing.NewTable(&config), map[string]*snapshot.Service{"s": &service}
	f.view.Store(&view)
	f.dispatcher.Update(&view)
}

const (
	// testTimeout is far longer than any test needs, so that a busy machine does not change an outcome.
	testTimeout = 20 * time.Second
	// shortTimeout is the timeout of the route whose requests run out of time.
	shortTimeout = 300 * time.Millisecond
	budgetSlack  = 3
	budgetWindow = time.Minute
	// bodyMemoryBytes and heldBodyBytes are the limits of bodies.
	bodyMemoryBytes = 4 << 20
	heldBodyBytes   = 64 << 10
)

func newFixture(t testing.TB, backends ...*backend) *fixture {
	t.Helper()
	started := time.Now()
	// The process has run for longer than the window of the retry budget.
	clock := func() time.Duration { return budgetWindow + time.Since(started) }
	timeouts := netdial.Settings{ConnectTimeout: time.Second, UserTimeout: 5 * time.Second, KeepAliveInterval: 5 * time.Second}
	dispatcher := dispatch.New(dispatch.Options{
		Zone: "z", Periods: serverstate.Periods{Drain: time.Second}, Clock: clock, Log: logging.Discard().Component("dispatch"), Metrics: observe.New(),
		NewPool: func(addr string) *serverconn.Pool {
			return serverconn.NewPool(addr, timeouts.Dialer(), testHeaders{}, serverconn.Settings{
				MaxIdle: time.Minute, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 20,
			})
		},
	})
	service := &snapshot.Service{Service: routing.Service{Name: "s"}}
	for i, b := range backends {
		service.Servers = append(service.Servers, directory.RegisteredServer{Server: directory.Server{
			ID: fmt.Sprint("b", i), Service: "s", Addr: b.addr, Zone: "z", Slots: 4,
		}})
	}
	config := &routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, Timeout: testTimeout, Target: testTimeout / 2, MaxAttempts: 2, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "short", Host: "h", Prefix: "/short/", Timeout: shortTimeout, Target: shortTimeout / 2, MaxAttempts: 2, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "order", Host: "h", Prefix: "/order/", Timeout: testTimeout, Target: testTimeout / 2, MaxAttempts: 2, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
		},
		Limits: routing.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second},
	}
	f := &fixture{budgets: NewRetryBudgets(retry.WindowLimits{Window: budgetWindow, Ratio: 0, Slack: budgetSlack}, clock)}
	f.hedges = NewHedges(hedge.Settings{})
	f.view.Store(&snapshot.Snapshot{
		Routes: routing.NewTable(config), Services: map[string]*snapshot.Service{"s": service}, Gateways: 1,
	})
	f.dispatcher = dispatcher
	dispatcher.Update(f.view.Load())
	f.server = New(Options{
		Snapshot:     f.view.Load,
		Clock:        clock,
		Dispatcher:   dispatcher,
		Headers:      testHeaders{},
		RetryBudgets: f.budgets,
		Hedges:       f.hedges,
		ConnTimeouts: timeouts,

		BodyMemoryBytes: bodyMemoryBytes,
		HeldBodyBytes:   heldBodyBytes,
		ShuttingDown:    func() bool { return false },
		Log:             logging.Discard().Component("entry"),
		Metrics:         observe.New(),
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	f.addr = listener.Addr().String()
	go f.server.Serve(listener)
	return f
}

// reading returns the number of connections on which a request is being read.
func (s *Server) reading() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for c := range s.conns {
		c.mu.Lock()
		if c.reading {
			count++
		}
		c.mu.Unlock()
	}
	return count
}

// client is a client connection.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp4", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(method, path, id string) {
	fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nPatience: 60s\r\nContent-Length: 0\r\n\r\n", method, path, id)
}

func (c *client) receive() (*http.Response, string) {
	c.t.Helper()
	if err := c.conn.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		c.t.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return response, string(body)
}
