package zones

import (
	"testing"
	"time"
)

// Guards against a drain that starts anew because its request is repeated, and so lasts longer than the operator was told.
func TestRepeatedRequest(t *testing.T) {
	d := New()
	if !d.Start(time.Second, "a") || d.Start(3*time.Second, "a") {
		t.Error("the first request counts as known, or the second as new")
	}
	d.Replace(4*time.Second, 4*time.Second, []string{"a"})
	if got := d.Get("a"); got != (State{Drained: true, Since: time.Second}) {
		t.Errorf("state %+v", got)
	}
}

// Guards against sending to a zone again because a restored store lacks the request, and against a drain that never ends.
func TestRestoredStore(t *testing.T) {
	const restored = 10 * time.Second
	cases := []struct {
		name    string
		then    func(d *Drains)
		drained bool
	}{
		{"request is written again", func(d *Drains) { d.Start(restored+time.Second, "a") }, true},
		{"request is gone", func(*Drains) {}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			d.Start(time.Second, "a")
			d.RecordRestore(restored)
			d.Replace(restored, restored, nil)
			if !d.Get("a").Drained {
				t.Fatal("the zone receives requests although the copy may only lack the request")
			}
			c.then(d)
			d.Expire(restored + restoredGrace)
			if got := d.Get("a"); got.Drained != c.drained || c.drained && got.Since != time.Second {
				t.Errorf("state %+v, want drained %v", got, c.drained)
			}
		})
	}
}

// Guards against states that do not follow the store: a zone that was taken back and drained again, and one that was never
// drained.
func TestTakenBack(t *testing.T) {
	d := New()
	d.Start(time.Second, "a")
	version := d.Version()
	if started, ended := d.Replace(5*time.Second, 4*time.Second, []string{"b"}); len(started) != 1 || len(ended) != 1 {
		t.Errorf("started %v, ended %v", started, ended)
	}
	if got := d.Get("a"); got != (State{ReturnedAt: 5 * time.Second}) {
		t.Errorf("state %+v", got)
	}
	if d.Version() == version {
		t.Error("the version does not tell of the change")
	}
	d.Start(6*time.Second, "a")
	if got := d.Get("a"); !got.Drained || got.Since != 6*time.Second {
		t.Errorf("state %+v", got)
	}
	if d.End(7*time.Second, "never drained") {
		t.Error("a drain ends that never started")
	}
}
