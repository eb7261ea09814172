package hedge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against hedged requests without a setting, and before anything is known of the slowest requests.
func TestDelay(t *testing.T) {
	s := NewService(5)
	if _, ok := s.Delay(); ok {
		t.Error("a delay without response times")
	}
	for i := range windowSize {
		s.Observe(time.Duration(i) * ms)
	}
	if delay, ok := s.Delay(); !ok || delay < 240*ms || delay > 245*ms {
		t.Errorf("delay %v, want that of the slowest 5%%", delay)
	}
	for range windowSize {
		s.Observe(time.Second)
	}
	if delay, _ := s.Delay(); delay != time.Second {
		t.Errorf("delay %v after the service became slow", delay)
	}
	off := NewService(0)
	for range windowSize {
		off.Observe(ms)
	}
	if _, ok := off.Delay(); ok || off.Take() {
		t.Error("hedged requests although none are allowed")
	}
}

// Guards against more hedged requests than operators allow, in total and at once.
func TestShare(t *testing.T) {
	s := NewService(5)
	const requests = 10_000
	taken, atOnce := 0, 0
	for range requests {
		s.CountRequest()
		if s.Take() {
			taken++
		}
	}
	if taken > requests*5/100 {
		t.Errorf("%d hedged requests of %d requests", taken, requests)
	}
	for range requests {
		s.CountRequest()
	}
	for s.Take() {
		atOnce++
	}
	if atOnce > maxTokens {
		t.Errorf("%d hedged requests at once", atOnce)
	}
	s.Return()
	if !s.Take() || s.Take() {
		t.Error("what was given back can't be used, or more than that")
	}
}

// The load: requests of 100 ms on average, of which one in twenty meets a server that is ten times as slow for a moment.
//
// Guards against hedged requests that don't cut the slowest response times, or cost more requests than allowed.
func TestSlowestResponses(t *testing.T) {
	const requests, percent = 20_000, 6
	run := func(percent float64) (p99 time.Duration, sent int) {
		random := rand.New(rand.NewPCG(3, 4))
		copyTime := func() time.Duration {
			took := time.Duration((0.5 + random.Float64()) * float64(100*ms))
			if random.Float64() < 0.05 {
				took *= 10
			}
			return took
		}
		s := NewService(percent)
		var times []time.Duration
		for range requests {
			s.CountRequest()
			sent++
			took := copyTime()
			if delay, ok := s.Delay(); ok && took > delay && s.Take() {
				sent++
				took = min(took, delay+copyTime())
			}
			s.Observe(took)
			times = append(times, took)
		}
		slices.Sort(times)
		return times[len(times)*99/100], sent
	}
	without, _ := run(0)
	with, sent := run(percent)
	if with > without/2 {
		t.Errorf("p99 %v with hedged requests, %v without", with, without)
	}
	if most := requests * (100 + percent) / 100; sent > most {
		t.Errorf("%d copies sent, want at most %d", sent, most)
	}
}
