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
			d.Expire(c.keptUntil - 1)
			if c.keptUntil > c.removedAt && !ids(d)["a"] {
				t.Fatalf("entry dropped before %v", c.keptUntil)
			}
			d.Expire(c.keptUntil)
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
	d.Expire(time.Minute)
	if !ids(d)["a"] {
		t.Fatal("server was dropped although it registered again")
	}
}
