package directory

import (
	"testing"
	"time"
)

// Guards against using a server again that has said that it leaves, because its entry says that it is ready, and against
// treating its next incarnation as leaving.
func TestLeavingServer(t *testing.T) {
	ready := Server{ID: "a", StartedAtMs: 10, Sequence: 1}
	again := ready
	again.Sequence = 5
	next := Server{ID: "a", StartedAtMs: 20, Sequence: 1}
	draining := again
	draining.Draining = true
	const heard = 3 * time.Second
	cases := []struct {
		name   string
		change func(d *Directory)
		want   bool
		since  time.Duration
	}{
		{"entry says ready", func(*Directory) {}, true, heard},
		{"registers again", func(d *Directory) { d.Put(4*time.Second, 0, again) }, true, heard},
		{"registers again after its removal", func(d *Directory) {
			d.Remove(4*time.Second, "a")
			d.Put(5*time.Second, 0, again)
		}, true, heard},
		{"listing", func(d *Directory) { d.Replace(4*time.Second, 0, []Server{again}) }, true, heard},
		{"entry says draining later", func(d *Directory) { d.Put(4*time.Second, 4*time.Second, draining) }, true, heard},
		{"entry may have said so earlier", func(d *Directory) { d.Put(4*time.Second, time.Second, draining) }, true, time.Second},
		{"next incarnation", func(d *Directory) { d.Put(4*time.Second, 0, next) }, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			d.Put(time.Second, 0, ready)
			if !d.MarkLeaving(heard, ready.Incarnation()) || d.MarkLeaving(heard+1, ready.Incarnation()) {
				t.Error("the first notice counts as known, or the second as new")
			}
			c.change(d)
			d.Expire(time.Hour, 0)
			server, ok := d.Lookup("a")
			if !ok || server.Draining != c.want || c.want && server.DrainingSince != c.since {
				t.Errorf("draining %v since %v, want %v since %v", server.Draining, server.DrainingSince, c.want, c.since)
			}
		})
	}
}

// Guards against memory that grows with each server that has left.
func TestLeavingServerIsForgotten(t *testing.T) {
	d := New()
	server := Server{ID: "a", StartedAtMs: 10}
	d.Put(0, 0, server)
	d.MarkLeaving(time.Second, server.Incarnation())
	d.Remove(2*time.Second, "a")
	d.Expire(2*NoticeRetention, 0)
	if len(d.leaving) != 0 {
		t.Errorf("%d servers are remembered", len(d.leaving))
	}
}

// Guards against a word of a server without a start time that outlives it: nothing distinguishes its next process, which then
// counted as leaving. With a start time, the word outlives the removal.
func TestNoticeEndsWithEntry(t *testing.T) {
	for startedAtMs, want := range map[int64]bool{0: false, 10: true} {
		d := New()
		server := Server{ID: "a", StartedAtMs: startedAtMs, Sequence: 1}
		d.Put(0, 0, server)
		d.MarkLeaving(time.Second, server.Incarnation())
		d.Remove(2*time.Second, "a")
		server.Sequence = 2
		d.Put(3*time.Second, 3*time.Second, server)
		if got, _ := d.Lookup("a"); got.Draining != want {
			t.Errorf("start time %d: draining %v, want %v", startedAtMs, got.Draining, want)
		}
	}
}
