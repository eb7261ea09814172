package dispatch

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

const (
	testKeys  = 100
	testDrain = 2 * time.Second
	// testZoneDrain is longer than testDrain, as the two are independent.
	testZoneDrain = 5 * time.Second
)

func newDispatcher() *Dispatcher {
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	return New(Options{
		Zone: "z", Periods: serverstate.Periods{Drain: testDrain, ZoneDrain: testZoneDrain}, Clock: clock, Log: logging.Discard().Component("dispatch"), Metrics: observe.New(),
		NewPool: func(addr string) *serverconn.Pool {
			return serverconn.NewPool(addr, &net.Dialer{}, nil, serverconn.Settings{})
		},
	})
}

func testServer(id string) directory.RegisteredServer {
	return directory.RegisteredServer{Server: directory.Server{ID: id, Service: "s", Addr: id, Zone: "z", Slots: 2}}
}

// view returns a snapshot of one service. The service is sharded if there are ownership rows.
func view(servers []directory.RegisteredServer, rows ...ownership.Row) *snapshot.Snapshot {
	service := &snapshot.Service{Service: routing.Service{Name: "s", Sharded: len(rows) > 0}, Servers: servers}
	if len(rows) > 0 {
		service.Owners = &ownership.Table{Rows: rows}
	}
	return &snapshot.Snapshot{Services: map[string]*snapshot.Service{"s": service}}
}

func ownedRow(id string, moving bool) ownership.Row {
	return ownership.Row{
		Keys: ownership.Keys{First: 0, Last: testKeys - 1}, Owner: ownership.Holder{ID: id}, Token: 1, Moving: moving,
	}
}

func newRequest(d *Dispatcher, priority int) *AcquireRequest {
	now := d.clock()
	r := &AcquireRequest{Service: "s", Key: 7, HasKey: true, Target: 300 * time.Millisecond}
	r.Arrived, r.TargetAt, r.Deadline, r.Priority = now, now+r.Target, now+2*time.Second, priority
	return r
}

func reason(err error) Reason {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return ""
	}
	return refusal.Reason
}

// Guards against sending requests to a server without room, and against rejecting a request although a slot has
// become free.
func TestRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		d.Update(view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", false)))
		var reservations []*Reservation
		for {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			reservation, err := d.Acquire(ctx, newRequest(d, 0))
			cancel()
			if err != nil {
				break
			}
			reservations = append(reservations, reservation)
		}
		if len(reservations) < 2 || len(reservations) > 6 {
			t.Fatalf("%d requests placed on a server with 2 slots", len(reservations))
		}
		done := make(chan error)
		go func() {
			_, err := d.Acquire(t.Context(), newRequest(d, 0))
			done <- err
		}()
		synctest.Wait()
		d.Done(reservations[0], Result{RunTimeValid: true})
		if err := <-done; err != nil {
			t.Fatalf("request was refused after a slot became free: %v", err)
		}
	})
}

// Guards against an urgent request that is queued behind less urgent ones.
func TestUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		d.Update(view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", true)))
		order := make(chan int, 3)
		for _, priority := range []int{2, 1, 0} {
			go func() {
				if _, err := d.Acquire(t.Context(), newRequest(d, priority)); err != nil {
					order <- -1
					return
				}
				order <- priority
			}()
			synctest.Wait()
		}
		d.SetLoads(map[uint32]int{relay.ServerHash(directory.Incarnation{ID: "a"}): 4})
		d.Update(view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", false)))
		if first := <-order; first != 0 {
			t.Fatalf("request of priority %d was placed first, want priority 0", first)
		}
	})
}

// Guards against wrong handling of requests whose owner is draining, gone or unassigned, or whose keys are being
// moved.
func TestOwners(t *testing.T) {
	draining := testServer("a")
	draining.Draining = true
	cases := []struct {
		name string
		view *snapshot.Snapshot
		wait time.Duration
		want Reason
	}{
		{"owner", view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", false)), 0, ""},
		{"owner drains", view([]directory.RegisteredServer{draining}, ownedRow("a", false)), 0, ""},
		{"owner has drained too long", view([]directory.RegisteredServer{draining}, ownedRow("a", false)), testDrain - serverstate.DrainMargin + time.Millisecond, ReasonMoving},
		{"keys are being moved", view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", true)), 0, ReasonMoving},
		{"owner is gone", view(nil, ownedRow("a", false)), 0, ReasonMoving},
		{"no owner", view(nil, ownedRow("", false)), 0, ReasonNoOwner},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher()
				d.Update(c.view)
				time.Sleep(c.wait)
				if _, err := d.Acquire(t.Context(), newRequest(d, 0)); reason(err) != c.want {
					t.Fatalf("%v, want %q", err, c.want)
				}
			})
		})
	}
}

// Guards against sending requests to a server that does not respond, and against sending none to it when it is the
// only server left.
func TestSuspendedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		servers := []directory.RegisteredServer{testServer("a"), testServer("b")}
		d.Update(view(servers))
		var reservations []*Reservation
		for range 4 {
			reservation, err := d.Acquire(t.Context(), newRequest(d, 0))
			if err != nil {
				t.Fatal(err)
			}
			reservations = append(reservations, reservation)
		}
		for _, reservation := range reservations {
			outcome := suspicion.OK
			if reservation.Server.ID == "a" {
				outcome = suspicion.NoResponse
			}
			d.Done(reservation, Result{Outcome: outcome})
		}
		if d.SuspendedServers() != 1 {
			t.Fatalf("%d servers are suspended, want 1", d.SuspendedServers())
		}
		for range 20 {
			reservation, err := d.Acquire(t.Context(), newRequest(d, 0))
			if err != nil || reservation.Server.ID == "a" {
				t.Fatalf("reservation %+v, error %v", reservation, err)
			}
			d.Done(reservation, Result{Outcome: suspicion.OK})
		}
		d.Update(view(servers[:1]))
		if _, err := d.Acquire(t.Context(), newRequest(d, 0)); err != nil {
			t.Fatalf("suspended server is not used although it is the only one: %v", err)
		}
	})
}

// Guards against a slot that stays occupied after the client canceled while its request was queued.
func TestClientCancelsWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		d.Update(view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", true)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := d.Acquire(ctx, newRequest(d, 0))
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; reason(err) != ReasonClientLeft {
			t.Fatalf("%v, want %q", err, ReasonClientLeft)
		}
		d.Update(view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", false)))
		if loads := d.Loads(); len(loads) != 0 {
			t.Fatalf("slots still occupied after the client canceled: %v", loads)
		}
	})
}

// Guards against removing a server that a service still lists, and against keeping one that is no longer listed or
// whose service was removed.
func TestRemoveUnlistedServers(t *testing.T) {
	d := newDispatcher()
	count := func(v *snapshot.Snapshot) int {
		d.Update(v)
		return len(d.servers)
	}
	both := []directory.RegisteredServer{testServer("a"), testServer("b")}
	if got := count(view(both)); got != 2 {
		t.Fatalf("%d servers, want 2", got)
	}
	if got := count(view(both, ownedRow("a", false))); got != 2 {
		t.Fatalf("%d servers after a change of owners, want 2", got)
	}
	if got := count(view([]directory.RegisteredServer{testServer("b")})); got != 1 {
		t.Fatalf("%d servers after one was removed, want 1", got)
	}
	if got := count(&snapshot.Snapshot{Services: map[string]*snapshot.Service{}}); got != 0 {
		t.Fatalf("%d servers after the service was removed, want 0", got)
	}
	if len(d.services) != 0 {
		t.Fatalf("%d services after the only one was removed", len(d.services))
	}
	if got := count(view(both)); got != 2 {
		t.Fatalf("%d servers after the service was added again, want 2", got)
	}
}

// Guards against a reservation that expects a longer queueing time at a server that is warming up than the one by which
// it was chosen.
func TestWarmupCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		server := testServer("a")
		server.WarmupUntil, server.Slots = time.Hour, 4
		d.Update(view([]directory.RegisteredServer{server}))
		request := newRequest(d, 0)
		var last *Reservation
		for range server.Slots + 1 {
			var err error
			if last, err = d.Acquire(t.Context(), request); err != nil {
				t.Fatal(err)
			}
		}
		runTime := coldStartFactor * time.Duration(initialRunTimeRatio*float64(request.Target))
		if want := runTime + runTime/time.Duration(server.Slots); last.Expected != want {
			t.Fatalf("expected response time %v, want %v", last.Expected, want)
		}
	})
}
