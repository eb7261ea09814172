package suspicion

import (
	"testing"
	"time"
)

// Guards against a crashed server that goes on getting requests, one failure that takes a server out, and a server
// that stays out after it answers again.
func TestSuspension(t *testing.T) {
	var r Tracker
	r.Observe(NoResponse, 0)
	if r.Suspended(0) {
		t.Fatal("suspended after one failure")
	}
	now := time.Duration(0)
	var last time.Duration
	for range 8 {
		r.Observe(ConnectionLost, now)
		if !r.Suspended(now) {
			t.Fatal("not suspended after several failures")
		}
		start := now
		for r.Suspended(now) {
			now += 10 * time.Millisecond
		}
		if now-start < last || now-start > longestSuspension+10*time.Millisecond {
			t.Fatalf("suspension of %v after one of %v", now-start, last)
		}
		last = now - start
	}
	r.Observe(OK, now)
	if r.Suspended(now) {
		t.Fatal("suspended after an answer")
	}
}

// Guards against a server that answers some requests and fails the rest and counts as sound, or as lost.
func TestFailureRate(t *testing.T) {
	var r Tracker
	for i := range 200 {
		outcome := OK
		if i%2 == 0 {
			outcome = Refused
		}
		r.Observe(outcome, time.Duration(i)*10*time.Millisecond)
	}
	if share := r.FailureRate(2 * time.Second); share < 0.35 || share > 0.65 {
		t.Errorf("share %v, want about a half", share)
	}
	if r.Suspended(2 * time.Second) {
		t.Error("a server that answers is suspended")
	}
	if share := r.FailureRate(time.Minute); share > 0.05 {
		t.Errorf("share %v a minute later, want it forgotten", share)
	}
}
