package directory

import (
	"testing"
	"time"
)

func ids(d *Directory) map[string]bool {
	known := make(map[string]bool)
	for _, server := range d.Servers() {
		known[server.ID] = true
	}
	return known
}

// Guards against two faults: dropping running servers whose entries only expired during a store outage, and keeping,
// for longer than the drain time, a server that left after the outage.
func TestRemovedEntries(t *testing.T) {
	const outage = 10 * time.Second
	cases := []struct {
		name      string
		removedAt time.Duration
		keptUntil time.Duration
	}{
		{"before an outage", 5 * time.Second, 5 * time.Second},
		{"right after an outage", outage + 100*time.Millisecond, outage + removalGrace},
		{"late in the grace period", outage + 1500*time.Millisecond, outage + removalGrace},
		{"after the grace period", outage + 2500*time.Millisecond, outage + 2500*time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			d.Put(0, 0, Server{ID: "a", Service: "s"})
			if c.removedAt > outage {
				d.RecordStoreOutage(outage)
			}
			d.Remove(c.removedAt, "a")
			if kept := ids(d)["a"]; kept != (c.keptUntil > c.removedAt) {
				t.Fatalf("entry kept immediately after its removal: %v", kept)
			}
			d.Expire(c.keptUntil-1, 0)
			if c.keptUntil > c.removedAt && !ids(d)["a"] {
				t.Fatalf("entry dropped before %v", c.keptUntil)
			}
			d.Expire(c.keptUntil, 0)
			if ids(d)["a"] {
				t.Fatalf("entry still present at %v", c.keptUntil)
			}
		})
	}
}

// Guards against dropping a server that has registered again after an outage.
func TestServerRegistersAgainAfterOutage(t *testing.T) {
	d := New()
	d.Put(0, 0, Server{ID: "a"})
	d.RecordStoreOutage(time.Second)
	d.Replace(time.Second, 0, nil)
	d.Replace(2*time.Second, time.Second, []Server{{ID: "a"}})
	d.Expire(time.Minute, 0)
	if !ids(d)["a"] {
		t.Fatal("server was dropped although it registered again")
	}
}

// Guards against the use of a server that a restored store lists as ready although it drains or has left, and against
// ignoring one that has written its entry again.
func TestOutdatedEntriesOfRestoredStore(t *testing.T) {
	ready := func(id string, sequence uint64) Server { return Server{ID: id, StartedAtMs: 1, Sequence: sequence} }
	draining := ready("drains", 7)
	draining.Draining = true
	d := New()
	d.Put(0, 0, draining)
	for _, id := range []string{"left", "back"} {
		d.Put(0, 0, ready(id, 5))
		d.Remove(time.Second, id)
	}
	d.RecordRestore(5 * time.Second)
	listing := []Server{ready("drains", 2), ready("left", 5), ready("back", 6), ready("unknown", 1)}
	for _, now := range []time.Duration{5 * time.Second, 6 * time.Second} {
		d.Replace(now, now, listing)
		if known := ids(d); known["left"] || !known["back"] || !known["unknown"] {
			t.Fatalf("servers %v", known)
		}
		if server, _ := d.Lookup("drains"); !server.Draining {
			t.Fatal("a draining server counts as ready")
		}
	}
	restarted := ready("left", 1)
	restarted.StartedAtMs = 2
	d.Replace(7*time.Second, 7*time.Second, []Server{restarted})
	if !ids(d)["left"] {
		t.Fatal("another incarnation of a server that left is ignored")
	}
}

// Guards against a listing that does not tell of the warm-up of a server whose entry has changed, and against one that starts
// the warm-up anew with each repeated entry.
func TestWarmupInListing(t *testing.T) {
	d := New()
	server := Server{ID: "a", StartedAtMs: 1, Sequence: 1}
	d.Put(0, 0, server)
	server.Sequence, server.WarmupLeft = 2, 3*time.Second
	for _, now := range []time.Duration{time.Second, 2 * time.Second} {
		d.Replace(now, now, []Server{server})
	}
	if got, _ := d.Lookup("a"); got.WarmupUntil != 4*time.Second {
		t.Errorf("warm-up until %v, want 4s", got.WarmupUntil)
	}
}
