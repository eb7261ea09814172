package serverstate

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against requests within a time for which a server wants none, whatever it says later, and against a burst after it.
func TestHoldOff(t *testing.T) {
	const slots, spread = 4, 400 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		position := rapid.Float64Range(0, 1).Draw(t, "position")
		n := Notice{}
		latestEnd := time.Duration(0)
		now := time.Second
		for range rapid.IntRange(1, 20).Draw(t, "statements") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause ms")) * time.Millisecond
			length := time.Duration(rapid.SampledFrom([]int{0, 0, 20, 500, 4000}).Draw(t, "hold-off ms")) * time.Millisecond
			sentAt := now - time.Duration(rapid.IntRange(0, 500).Draw(t, "run time ms"))*time.Millisecond
			n.observe(Statement{HoldOff: length}, sentAt, now, spread, position)
			if length > 0 {
				latestEnd = max(latestEnd, now+length)
			}
			limit, limited := n.HoldOff.Limit(now, slots)
			if now < latestEnd && (!limited || limit > 0) {
				t.Fatalf("%d requests, limited %v, %v before the end of the hold-off", limit, limited, latestEnd-now)
			}
			if left := n.HoldOff.Left(now); left < latestEnd-now || left > max(0, latestEnd-now+spread) {
				t.Fatalf("%v left, the server named %v", left, latestEnd-now)
			}
		}
		end := max(now, latestEnd+spread)
		if limit, limited := n.HoldOff.Limit(end, slots); limited && limit < 1 {
			t.Fatalf("no request after the hold-off")
		}
	})
}

// Guards against a burst of all requests at the end of a hold-off, and against a limit that stays.
func TestLoadAfterHoldOff(t *testing.T) {
	const slots, end = 8, 5 * time.Second
	n := Notice{}
	n.observe(Statement{HoldOff: 4 * time.Second}, 0, time.Second, 0, 0)
	steps := []struct {
		at       time.Duration
		answered bool
		limit    int
		limited  bool
	}{
		{end - 1, false, 0, true},
		{end, false, 1, true},
		{end + 10*time.Second, false, 1, true},
		{end + 10*time.Second, true, 1, true},
		{end + 11*time.Second, true, 1 + slots/2, true},
		{end + 12*time.Second, true, 0, false},
	}
	for _, step := range steps {
		if step.answered {
			n.observe(Statement{}, step.at, step.at, 0, 0)
		}
		if limit, limited := n.HoldOff.Limit(step.at, slots); limit != step.limit || limited != step.limited {
			t.Errorf("at %v: %d requests, limited %v, want %d, %v", step.at, limit, limited, step.limit, step.limited)
		}
	}
}

// Guards against all gateways that come back to a server at the same moment.
func TestGatewaysComeBackOneAfterTheOther(t *testing.T) {
	const gateways, spread = 300, 3 * time.Second
	first := make(map[time.Duration]int)
	for i := range gateways {
		n := Notice{}
		n.observe(Statement{HoldOff: 10 * time.Second}, 0, 0, spread, float64(i)/gateways)
		first[n.HoldOff.Left(0).Truncate(100*time.Millisecond)]++
	}
	for at, count := range first {
		if count > gateways/20 {
			t.Errorf("%d of %d gateways come back within the same 100 ms, at %v", count, gateways, at)
		}
	}
}
