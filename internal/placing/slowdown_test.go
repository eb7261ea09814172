package placing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against requests that go to a server whose machine is slow at the moment although another one is not, and against
// avoiding it once the report is old.
func TestSlowdown(t *testing.T) {
	var slowdown Slowdown
	for range 10 {
		slowdown.Report(1, 0)
	}
	slowdown.Report(3, 0)
	slow := Server{Slots: 4, RunTime: 300 * time.Millisecond, Slowdown: slowdown.Estimate(0)}
	// The other server has more requests than the slow one.
	other := Server{Slots: 4, RunTime: 300 * time.Millisecond, OwnRequests: 5}
	choose := func() int {
		candidates := Candidates{SameZone: []int{0, 1}, State: func(i int) Server { return []Server{slow, other}[i] }}
		return Choose(candidates, Limits{Target: time.Second}, rand.New(rand.NewPCG(1, 2)))
	}
	if choose() != 1 {
		t.Error("the slow server is chosen")
	}
	slow.Slowdown = slowdown.Estimate(time.Minute)
	if choose() != 0 {
		t.Error("the server is avoided a minute later")
	}
}

// Guards against counting the usual factor of a server twice: as part of its measured run times, and again.
func TestUsualSlowdown(t *testing.T) {
	var slowdown Slowdown
	if got := slowdown.Estimate(0); got != 1 {
		t.Errorf("%v without a report", got)
	}
	for range 100 {
		slowdown.Report(1.5, 0)
	}
	if got := slowdown.Estimate(0); got < 0.99 || got > 1.01 {
		t.Errorf("%v for a server that is as slow as ever", got)
	}
}
