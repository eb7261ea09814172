package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slowStartBound is what a server takes after its start in the tests: with the rate of 5.6 requests a second, 16.4 in any
// one second.
var slowStartBound = SlowStart{Overshoot: 1.5, Slack: 8}

const slowStartRate = 5.6

// startSlowly limits a fleet to the rate of a server that has just started.
func startSlowly(f *simFleet, rate float64, bound SlowStart) {
	f.kind, f.allocator, f.limit, f.limited = KindSlowStart, NewAllocator(bound), rate, true
	for _, g := range f.gateways {
		g.limiter = NewSlowStartLimiter(f.random.Float64(), bound)
		g.limiter.Start(rate, f.now)
	}
}

// mostInOneSecond returns the largest number of requests in any one second.
func mostInOneSecond(sent []time.Duration) int {
	most, first := 0, 0
	for i, at := range sent {
		for sent[first] <= at-time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a fleet that sends a server that has just started more than it takes in some second: from its first request
// on, before any gateway has reported, with gateways that do not reach the elected one, and after another one is elected.
func TestFleetKeepsToSlowStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 300).Draw(t, "gateways")
		f := newSimFleet(rapid.Uint64().Draw(t, "seed"), gateways)
		startSlowly(f, slowStartRate, slowStartBound)
		wanted := rapid.Float64Range(1, 200).Draw(t, "wanted")
		cut := rapid.Float64Range(0, 1).Draw(t, "cut")
		for i, g := range f.gateways {
			g.rate = wanted / float64(gateways)
			g.connected = float64(i) >= cut*float64(gateways)
		}
		for range 3 {
			f.run(time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "elected gateway changes") {
				f.allocator = NewAllocator(slowStartBound)
			}
			for _, g := range f.gateways {
				g.connected = rapid.Float64Range(0, 1).Draw(t, "draw") >= cut
			}
		}
		if most := mostInOneSecond(f.sent); float64(most) > slowStartBound.Bound(slowStartRate) {
			t.Fatalf("%d requests in one second, %v allowed", most, slowStartBound.Bound(slowStartRate))
		}
	})
}

// Guards against a server that has just started and is hardly used although many requests could go to it.
func TestFleetUsesSlowStart(t *testing.T) {
	for _, gateways := range []int{1, 3, 58, 300} {
		f := newSimFleet(uint64(gateways), gateways)
		startSlowly(f, slowStartRate, slowStartBound)
		for _, g := range f.gateways {
			g.rate = 20 / float64(gateways)
		}
		const duration = 4 * time.Second
		f.run(duration)
		if least := 0.6 * slowStartRate * duration.Seconds(); float64(len(f.sent)) < least {
			t.Errorf("%d gateways: %d requests in %v, want at least %.0f", gateways, len(f.sent), duration, least)
		}
	}
}

// Guards against a limit that outlives the slow start, and one that a gateway takes over from another although it knows by
// itself that the server needs none.
func TestSlowStartEnds(t *testing.T) {
	l := NewSlowStartLimiter(0.5, slowStartBound)
	l.Start(slowStartRate, time.Second)
	l.Stop(4 * time.Second)
	late := Grant{Kind: KindSlowStart, Statement: Statement{Limited: true, Limit: slowStartRate, At: 5 * time.Second}}
	if l.Allocate(late, 5*time.Second) || l.Limited() || !l.Admits(5*time.Second, 300) {
		t.Error("the limit goes on")
	}
}
