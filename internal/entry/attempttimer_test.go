package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// idleDispatcher returns a dispatcher whose clock stands still, with a service "s" that has an idle server.
func idleDispatcher() *dispatch.Dispatcher {
	dispatcher := dispatch.New(dispatch.Options{
		Zone: "z", Periods: serverstate.Periods{Drain: time.Second}, Clock: func() time.Duration { return 0 }, Log: logging.Discard().Component("dispatch"), Metrics: observe.New(),
		NewPool: func(addr string) *serverconn.Pool {
			return serverconn.NewPool(addr, &net.Dialer{}, testHeaders{}, serverconn.Settings{})
		},
	})
	server := directory.RegisteredServer{Server: directory.Server{ID: "b", Service: "s", Addr: "127.0.0.1:1", Zone: "z", Slots: 4}}
	service := &snapshot.Service{Service: routing.Service{Name: "s"}, Servers: []directory.RegisteredServer{server}}
	dispatcher.Update(&snapshot.Snapshot{
		Routes: routing.NewTable(&routing.Config{Version: 1}), Services: map[string]*snapshot.Service{"s": service}, Gateways: 1,
	})
	return dispatcher
}

// Guards against breaking off a request that its server is working on when no server has room to run it again: the client
// would get an error long before its deadline.
func TestAttemptGoesOnWithoutRoom(t *testing.T) {
	const runTime, target, orders = 1500 * time.Millisecond, 200 * time.Millisecond, 8
	for name, c := range map[string]struct {
		slots    int
		arrivals int64
	}{
		"no room": {slots: 1, arrivals: 1},
		"room":    {slots: 2 * orders, arrivals: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var lookups atomic.Int64
			release := make(chan struct{})
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					<-release
				} else {
					lookups.Add(1)
					time.Sleep(runTime)
				}
				signed(w, 200, "ok")
			})
			f := newFixture(t, b)
			f.addRoute(routing.Route{Name: "lookup", Host: "h", Prefix: "/lookup/", Idempotent: true, Timeout: testTimeout, Target: target,
				MaxAttempts: 2, Split: []routing.WeightedService{{Service: "s", Weight: 1}}}, c.slots)
			conn := f.dial(t)
			conn.send("GET", "/lookup/x", "a")
			for lookups.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			for i := range orders {
				f.dial(t).send("POST", "/order/x", fmt.Sprint("order-", i))
			}
			if response, _ := conn.receive(); response.StatusCode != http.StatusOK {
				t.Errorf("status %d, want 200", response.StatusCode)
			}
			if lookups.Load() != c.arrivals {
				t.Errorf("%d arrivals, want %d", lookups.Load(), c.arrivals)
			}
			close(release)
		})
	}
}
