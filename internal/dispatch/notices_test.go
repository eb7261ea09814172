package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
)

// incarnationOf returns a test server that started at a time.
func incarnationOf(id string, startedAtMs int64) directory.RegisteredServer {
	server := testServer(id)
	server.StartedAtMs = startedAtMs
	return server
}

// hear sends a request without a key to the only server, whose response makes a statement.
func hear(t *testing.T, d *Dispatcher, statement serverstate.Statement) {
	t.Helper()
	request := newRequest(d, 0)
	request.HasKey = false
	reservation, err := d.Acquire(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	d.Done(reservation, Result{Responded: true, Statement: statement})
}

// Guards against any way to a server that has said that it leaves: as the only one, after it was listed again, as one that
// was not tried yet, and for queued requests; and against refusing its next incarnation.
func TestLeavingServers(t *testing.T) {
	list := func(servers ...directory.RegisteredServer) *snapshot.Snapshot { return view(servers) }
	leaving, other := incarnationOf("a", 10), incarnationOf("b", 10)
	cases := []struct {
		name  string
		after []*snapshot.Snapshot
		want  string
	}{
		{"only server", nil, ""},
		{"listed again", []*snapshot.Snapshot{list(other), list(leaving)}, ""},
		{"another server", []*snapshot.Snapshot{list(leaving, other)}, "b"},
		{"next incarnation", []*snapshot.Snapshot{list(incarnationOf("a", 20))}, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher()
				d.Update(list(leaving))
				hear(t, d, serverstate.Statement{Leaving: true})
				for _, next := range c.after {
					d.Update(next)
				}
				request := newRequest(d, 0)
				request.HasKey = false
				request.Tried = []directory.Incarnation{other.Incarnation()}
				started := time.Now()
				reservation, err := d.Acquire(t.Context(), request)
				if c.want == "" && (reason(err) != ReasonLeaving || time.Since(started) > 0) {
					t.Fatalf("%v after %v, want %q at once", err, time.Since(started), ReasonLeaving)
				}
				if c.want != "" && (err != nil || reservation.Server.ID != c.want) {
					t.Fatalf("reservation %+v, error %v, want %q", reservation, err, c.want)
				}
			})
		})
	}
}

// Guards against requests that are queued for a server and sent to it after it has said that it leaves.
func TestQueuedForLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		d.Update(view([]directory.RegisteredServer{incarnationOf("a", 10)}))
		request := func() *AcquireRequest {
			r := newRequest(d, 0)
			r.HasKey = false
			return r
		}
		var last *Reservation
		results := make(chan error, 100)
		for d.Queued() == 0 {
			go func() {
				reservation, err := d.Acquire(t.Context(), request())
				if err != nil {
					results <- err
					return
				}
				last = reservation
			}()
			synctest.Wait()
		}
		d.Done(last, Result{Responded: true, Statement: serverstate.Statement{Leaving: true}})
		if err := <-results; reason(err) != ReasonLeaving {
			t.Fatalf("%v, want %q", err, ReasonLeaving)
		}
	})
}

// Guards against requests to a server within the time for which it wants none, against a queue for it that cannot be served
// in time, and against taking its keys for lost.
func TestHeldOffServers(t *testing.T) {
	const holdOff = 600 * time.Millisecond
	cases := []struct {
		name    string
		servers int
		key     bool
		timeout time.Duration
		want    Reason
		after   time.Duration
		server  string
	}{
		{"only server", 1, false, 20 * time.Second, ReasonHeldOff, 0, ""},
		{"another server", 2, false, time.Second, "", 0, "b"},
		{"owner, no time", 1, true, 500 * time.Millisecond, ReasonHeldOff, 0, ""},
		{"owner, time to wait", 1, true, 20 * time.Second, "", holdOff, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher()
				servers := []directory.RegisteredServer{incarnationOf("a", 0), incarnationOf("b", 0)}
				d.Update(view(servers[:1], ownedRow("a", false)))
				hear(t, d, serverstate.Statement{HoldOff: holdOff})
				if c.key {
					d.Update(view(servers[:c.servers], ownedRow("a", false)))
				} else {
					d.Update(view(servers[:c.servers]))
				}
				request := newRequest(d, 0)
				request.HasKey = c.key
				request.Deadline = d.clock() + c.timeout
				started := time.Now()
				reservation, err := d.Acquire(t.Context(), request)
				waited := time.Since(started)
				if reason(err) != c.want || err == nil && reservation.Server.ID != c.server {
					t.Fatalf("reservation %+v, error %v, want %q at %q", reservation, err, c.want, c.server)
				}
				if c.after == 0 && waited > 0 || waited < c.after {
					t.Fatalf("after %v, want %v", waited, c.after)
				}
				if d.SuspendedServers() != 0 {
					t.Error("a server that holds requests off counts as suspended")
				}
			})
		})
	}
}
