package admission

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func request(arrived, target, deadline time.Duration, priority int) Request {
	return Request{Arrived: arrived, TargetAt: arrived + target, Deadline: arrived + deadline, Priority: priority}
}

// Guards against queues so long that every request is late, and against rejecting requests that can be answered in
// time.
func TestShouldQueue(t *testing.T) {
	r := request(0, 200*ms, 1200*ms, 0)
	cases := []struct {
		name string
		now  time.Duration
		wait time.Duration
		want bool
	}{
		{"in time", 0, 100 * ms, true},
		{"late, short wait", 0, 200 * ms, true},
		{"late, long wait", 0, 400 * ms, false},
		{"little time left", 1100 * ms, 50 * ms, false},
		{"no time left", 1300 * ms, 0, false},
	}
	for _, c := range cases {
		if got := ShouldQueue(r, c.now, c.wait, 60*ms); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against serving a less urgent request first, and against late requests that delay requests which can
// still meet their latency objective.
func TestBefore(t *testing.T) {
	const now = 500 * ms
	urgent := request(490*ms, 200*ms, time.Second, 0)
	fresh := request(450*ms, 200*ms, time.Second, 1)
	fresher := request(480*ms, 200*ms, time.Second, 1)
	late := request(100*ms, 200*ms, time.Second, 1)
	got := []Request{late, fresher, fresh, urgent}
	slices.SortFunc(got, func(a, b Request) int {
		if Before(a, b, now, 60*ms) {
			return -1
		}
		return 1
	})
	if want := []Request{urgent, fresh, fresher, late}; !slices.Equal(got, want) {
		t.Fatalf("order %v", got)
	}
}

// Guards against telling clients to retry immediately, or so late that their requests can no longer be served.
func TestRetryAfter(t *testing.T) {
	for wait, want := range map[time.Duration]time.Duration{0: minRetryAfter, 300 * ms: 300 * ms, time.Hour: maxRetryAfter} {
		if got := RetryAfter(wait); got != want {
			t.Errorf("wait %v: retry after %v, want %v", wait, got, want)
		}
	}
}
