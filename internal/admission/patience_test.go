package admission

import (
	"testing"
	"time"
)

// Guards against taking a client that comes back for one that asks for the first time, and clients that are a little less
// patient for ones that come back.
func TestPatience(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		least   time.Duration
		most    time.Duration
	}{
		{"first request", 5000 * ms, 0, 0},
		{"less patient", 4300 * ms, 0, 0},
		{"came back after 1.5 s", 3500 * ms, 400 * ms, 1500 * ms},
		{"little time left", 500 * ms, 3000 * ms, 4500 * ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p Patience
			p.Observe(5000*ms, 0)
			if got := p.Observe(c.timeout, ms); got < c.least || got > c.most {
				t.Errorf("first sent %v ago, want %v to %v", got, c.least, c.most)
			}
		})
	}
}

// Guards against clients of a route that count as coming back for good, because one of them was very patient once.
func TestPatienceForgets(t *testing.T) {
	var p Patience
	p.Observe(time.Hour, 0)
	p.Observe(5000*ms, patienceWindow)
	if got := p.Observe(5000*ms, 2*patienceWindow); got != 0 {
		t.Errorf("first sent %v ago, want 0", got)
	}
}

// Guards against a share of urgent demand that does not follow the requests, and one that old requests decide.
func TestMix(t *testing.T) {
	var m Mix
	if got := m.MoreUrgent(3); got != 0 {
		t.Errorf("%v without demand", got)
	}
	for range 30 {
		m.Observe(0, 0)
	}
	for range 70 {
		m.Observe(2, 0)
	}
	if got := m.MoreUrgent(2); got < 0.29 || got > 0.31 {
		t.Errorf("share %v, want 0.3", got)
	}
	if m.MoreUrgent(0) != 0 {
		t.Error("something is more urgent than the most urgent level")
	}
	for range 10 {
		m.Observe(2, time.Minute)
	}
	if got := m.MoreUrgent(2); got > 0.01 {
		t.Errorf("share %v a minute after the last urgent request", got)
	}
}
