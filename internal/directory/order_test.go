package directory

import (
	"testing"
	"time"
)

// Guards against entries that the store carries out late: one of an earlier incarnation that replaces the running one, a
// `ready` of a server that drains, and one of a server that has left.
func TestLateEntries(t *testing.T) {
	entry := func(startedAtMs int64, sequence uint64, draining bool) Server {
		return Server{ID: "a", StartedAtMs: startedAtMs, Sequence: sequence, Draining: draining}
	}
	cases := []struct {
		name     string
		known    Server
		removed  bool
		arrives  Server
		accepted bool
	}{
		{"earlier incarnation", entry(20, 1, false), false, entry(10, 9, false), false},
		{"earlier incarnation of a removed server", entry(20, 1, false), true, entry(10, 9, false), false},
		{"ready before draining", entry(20, 4, true), false, entry(20, 3, false), false},
		{"ready before the removal", entry(20, 4, true), true, entry(20, 3, false), false},
		{"same entry after the removal", entry(20, 4, false), true, entry(20, 4, false), false},
		{"registers again", entry(20, 4, false), true, entry(20, 5, false), true},
		{"next report", entry(20, 4, true), false, entry(20, 5, false), true},
		{"repeated report", entry(20, 4, false), false, entry(20, 4, false), true},
		{"next incarnation", entry(20, 4, true), false, entry(30, 1, false), true},
		{"next incarnation after the removal", entry(20, 4, true), true, entry(30, 1, false), true},
		{"unknown start time", entry(0, 4, true), false, entry(0, 1, false), true},
		{"unknown start time after the removal", entry(0, 4, true), true, entry(0, 1, false), true},
	}
	arrive := map[string]func(d *Directory, server Server){
		"event":   func(d *Directory, server Server) { d.Put(time.Minute, time.Minute, server) },
		"listing": func(d *Directory, server Server) { d.Replace(time.Minute, time.Minute, []Server{server}) },
	}
	for way, apply := range arrive {
		for _, c := range cases {
			t.Run(c.name+" in "+way, func(t *testing.T) {
				d := New()
				d.Put(time.Second, 0, c.known)
				if c.removed {
					d.Remove(2*time.Second, "a")
				}
				want, present := c.known, !c.removed
				if c.accepted {
					want, present = c.arrives, true
				}
				apply(d, c.arrives)
				got, ok := d.Lookup("a")
				if ok != present || ok && got.Server != want {
					t.Fatalf("entry %+v, present %v; want %+v, present %v", got.Server, ok, want, present)
				}
			})
		}
	}
}

// Guards against a server that stays unknown for good because of its removal.
func TestRemovedEntryIsForgotten(t *testing.T) {
	d := New()
	late := Server{ID: "a", StartedAtMs: 10, Sequence: 4}
	d.Put(0, 0, late)
	d.Remove(time.Second, "a")
	d.Expire(time.Second + removedRetention + 1)
	d.Put(2*removedRetention, 0, late)
	if !ids(d)["a"] {
		t.Fatal("removed entry still ignored after the retention time")
	}
}
