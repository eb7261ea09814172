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
	d.Expire(time.Second+removedRetention+1, 0)
	d.Put(2*removedRetention, 0, late)
	if !ids(d)["a"] {
		t.Fatal("removed entry still ignored after the retention time")
	}
}

// Guards against a server that is never used again because the known entry is odd, or because its clock has gone back, and
// against taking a late write for its entry.
func TestOutdatedEntryThatStays(t *testing.T) {
	odd := Server{ID: "a", StartedAtMs: 20, Sequence: 1 << 60, Addr: "odd"}
	real := Server{ID: "a", StartedAtMs: 20, Sequence: 5, Addr: "real"}
	const seen = time.Second
	cases := []struct {
		name    string
		later   func(d *Directory)
		at      time.Duration
		contact time.Duration
		want    string
	}{
		{"stays", func(*Directory) {}, seen + outdatedPeriod, seen + outdatedPeriod, "real"},
		{"not long enough", func(*Directory) {}, seen + outdatedPeriod - 1, seen + outdatedPeriod - 1, "odd"},
		{"no contact since", func(*Directory) {}, seen + 2*outdatedPeriod, seen + outdatedPeriod/2, "odd"},
		{"removed from the store", func(d *Directory) { d.Remove(2*seen, "a") }, seen + outdatedPeriod, seen + outdatedPeriod, ""},
		{"replaced in the store", func(d *Directory) {
			next := odd
			next.Sequence++
			d.Put(2*seen, 2*seen, next)
		}, seen + outdatedPeriod, seen + outdatedPeriod, "odd"},
		{"replaced in a listing", func(d *Directory) { d.Replace(2*seen, 2*seen, []Server{odd}) }, seen + outdatedPeriod, seen + outdatedPeriod, "odd"},
		{"gone from a listing", func(d *Directory) { d.Replace(2*seen, 2*seen, nil) }, seen + outdatedPeriod, seen + outdatedPeriod, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			d.Put(0, 0, odd)
			d.Put(seen, seen, real)
			c.later(d)
			d.Expire(c.at, c.contact)
			if server, _ := d.Lookup("a"); server.Addr != c.want {
				t.Fatalf("entry %q, want %q", server.Addr, c.want)
			}
		})
	}
}
