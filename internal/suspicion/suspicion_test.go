package suspicion

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a crashed server that keeps receiving requests, a server that is suspended after a single
// failure, and a server that stays suspended after it responds again.
func TestSuspension(t *testing.T) {
	var tracker Tracker
	tracker.Observe(NoResponse, 0)
	if tracker.Suspended(0) {
		t.Fatal("suspended after one failure")
	}
	now := time.Duration(0)
	var last time.Duration
	for range 8 {
		tracker.Observe(NoResponse, now)
		if !tracker.Suspended(now) {
			t.Fatal("not suspended after several failures")
		}
		start := now
		for tracker.Suspended(now) {
			now += 10 * time.Millisecond
		}
		if now-start < last || now-start > maxSuspension+10*time.Millisecond {
			t.Fatalf("suspension of %v after one of %v, want no shorter one and at most the maximum", now-start, last)
		}
		last = now - start
	}
	tracker.Observe(OK, now)
	if tracker.Suspended(now) {
		t.Fatal("still suspended after a successful response")
	}
}

// Guards against a server that fails half of its requests and is treated as healthy, or is suspended although it
// responds.
func TestFailureRate(t *testing.T) {
	var tracker Tracker
	for i := range 200 {
		outcome := OK
		if i%2 == 0 {
			outcome = Refused
		}
		tracker.Observe(outcome, time.Duration(i)*10*time.Millisecond)
	}
	if share := tracker.FailureRate(2 * time.Second); share < 0.35 || share > 0.65 {
		t.Errorf("failure rate %v, want about 0.5", share)
	}
	if tracker.Suspended(2 * time.Second) {
		t.Error("a server that responds is suspended")
	}
	if share := tracker.FailureRate(time.Minute); share > 0.05 {
		t.Errorf("failure rate %v a minute later, want at most 0.05", share)
	}
}

// Guards against a failure rate that stays high because it is read often.
func TestFailureRateDecaysWhileRead(t *testing.T) {
	var often, once Tracker
	for range 20 {
		often.Observe(Refused, 0)
		once.Observe(Refused, 0)
	}
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		often.FailureRate(now)
	}
	if a, b := often.FailureRate(time.Minute), once.FailureRate(time.Minute); a != b || a > 0.01 {
		t.Fatalf("failure rate %v if read every second, %v if read once", a, b)
	}
}

// Guards against a server without responses that counts as healthy because clients left, requests were not sent, or had
// too little time.
func TestOutcomesWithoutResponse(t *testing.T) {
	for _, outcome := range []Outcome{NoInformation, Late} {
		var tracker Tracker
		tracker.Observe(NoResponse, 0)
		tracker.Observe(outcome, 0)
		tracker.Observe(NoResponse, 0)
		if !tracker.Suspended(0) {
			t.Errorf("outcome %v counted as a response", outcome)
		}
		tracker.Observe(outcome, 0)
		if !tracker.Suspended(0) {
			t.Errorf("outcome %v ended the suspension", outcome)
		}
	}
}

// Guards against requests that go on to a server that resets every connection.
func TestSuspensionAfterLostConnections(t *testing.T) {
	var tracker Tracker
	for range suspendThreshold {
		tracker.Observe(ConnectionLost, 0)
	}
	if !tracker.Suspended(0) {
		t.Fatalf("not suspended after %d lost connections", suspendThreshold)
	}
}

// Guards against the suspension of a server that is full and resets almost half of its connections: nobody else can
// serve the keys that it owns.
func TestServerThatResetsWhenFull(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var tracker Tracker
	const requests, interval = 5000, 10 * time.Millisecond
	withheld := 0
	for i := range requests {
		now := time.Duration(i) * interval
		if tracker.Suspended(now) {
			withheld++
			continue
		}
		outcome := OK
		if random.Float64() < 0.45 {
			outcome = ConnectionLost
		}
		tracker.Observe(outcome, now)
	}
	if share := float64(withheld) / requests; share > 0.1 {
		t.Fatalf("%.2f of the requests withheld from a server that answers 0.55 of them", share)
	}
}
