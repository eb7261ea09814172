package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
	"github.com/sapphireplank/sapphireplank/internal/zones"
)

// serverIn returns a server in a zone.
func serverIn(id, zone string) directory.RegisteredServer {
	server := testServer(id)
	server.Zone = zone
	return server
}

// drainZones returns a snapshot in which zones are drained since a time.
func drainZones(view *snapshot.Snapshot, since time.Duration, names ...string) *snapshot.Snapshot {
	view.ZonesVersion++
	view.Zones = make(zones.States)
	for _, name := range names {
		view.Zones[name] = zones.State{Drained: true, Since: since}
	}
	return view
}

// Guards against new requests to servers of a drained zone, and against waiting for a server although the zones of all are
// drained.
func TestDrainedZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		servers := []directory.RegisteredServer{serverIn("a", "z"), serverIn("b", "y")}
		d.Update(drainZones(view(servers), 0, "z"))
		for range 3 {
			reservation, err := d.Acquire(t.Context(), newRequest(d, 0))
			if err != nil || reservation.Server.ID != "b" {
				t.Fatalf("reservation %+v, error %v", reservation, err)
			}
		}
		both := drainZones(view(servers), 0, "z", "y")
		both.ZonesVersion++
		d.Update(both)
		started := d.clock()
		if _, err := d.Acquire(t.Context(), newRequest(d, 0)); reason(err) != ReasonZoneDrained || d.clock() != started {
			t.Fatalf("%v after %v, want %q at once", err, d.clock()-started, ReasonZoneDrained)
		}
	})
}

// Guards against requests that reach the owner of their key after the drain time of its zone, and against refusing them while
// the keys move.
func TestOwnerInDrainedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		servers := []directory.RegisteredServer{serverIn("a", "z"), serverIn("b", "y")}
		d.Update(drainZones(view(servers, ownedRow("a", false)), d.clock(), "z"))
		if _, err := d.Acquire(t.Context(), newRequest(d, 0)); err != nil {
			t.Fatalf("request refused while its keys move: %v", err)
		}
		time.Sleep(testZoneDrain)
		if _, err := d.Acquire(t.Context(), newRequest(d, 0)); reason(err) != ReasonMoving {
			t.Fatalf("%v, want %q", err, ReasonMoving)
		}
		d.Update(drainZones(view(servers[:1], ownedRow("a", false)), 0, "z"))
		if _, err := d.Acquire(t.Context(), newRequest(d, 0)); reason(err) != ReasonZoneDrained {
			t.Fatalf("%v, want %q", err, ReasonZoneDrained)
		}
	})
}

// Guards against a queued request that is placed on a server whose zone was drained meanwhile.
func TestQueuedForDrainedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		moving := ownership.Row{Keys: ownership.Keys{First: 0, Last: testKeys - 1}, Owner: ownership.Holder{ID: "a"}, Token: 1, Moving: true}
		servers := []directory.RegisteredServer{serverIn("a", "z")}
		d.Update(view(servers, moving))
		refused := make(chan error)
		go func() {
			_, err := d.Acquire(t.Context(), newRequest(d, 0))
			refused <- err
		}()
		synctest.Wait()
		moving.Moving = false
		d.Update(drainZones(view(servers, moving), -testZoneDrain, "z"))
		if err := <-refused; reason(err) != ReasonZoneDrained {
			t.Fatalf("%v, want %q", err, ReasonZoneDrained)
		}
	})
}
