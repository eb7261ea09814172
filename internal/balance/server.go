package balance

import (
	"math"
	"time"
)

// Result is how a request ended, as far as the backend server is concerned.
type Result int

const (
	// Answered means that the server answered.
	Answered Result = iota
	// Failed means that the server or its home could not be reached or gave no valid answer.
	Failed
	// Neutral says nothing about the server, for example a cancellation by the caller.
	Neutral
)

const (
	// failuresUntilEjected is the number of successive failures after which a server is not chosen.
	failuresUntilEjected = 5
	// firstEjection is the length of the first ejection; it doubles up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// probation is the time without a failure after which the next ejection is short again.
	probation = time.Minute
)

// serverState is what one gateway observed of one server.
type serverState struct {
	Server
	inProgress int
	// latency is the moving average in nanoseconds, or 0.
	latency float64
	// reported is the load that the home reported, in requests.
	reported   float64
	reportedAt time.Duration
	hasReport  bool
	// rampStart is the begin of the ramp. Only if ramping.
	rampStart time.Duration
	ramping   bool
	// failures counts successive failures.
	failures     int
	ejectedUntil time.Duration
	ejection     time.Duration
}

// newServerState returns a state that looks like an average server, so that a new one does not draw all
// requests.
func newServerState(server Server, latency float64, now time.Duration) *serverState {
	return &serverState{
		Server: server, latency: latency, rampStart: now, ramping: server.Cold, ejection: firstEjection,
	}
}

func (s *serverState) usable(now time.Duration) bool { return now >= s.ejectedUntil }

// load estimates the requests at the server.
func (s *serverState) load(now time.Duration) float64 {
	own := float64(s.inProgress)
	if !s.hasReport || s.latency == 0 {
		return own
	}
	age := float64(now-s.reportedAt) / (reportMemory * s.latency)
	return max(own, own+(s.reported-own)*math.Exp(-age))
}

func (s *serverState) perSlot(now time.Duration) float64 {
	return s.load(now) / float64(max(s.Slots, 1))
}

// score is lower for better servers.
func (s *serverState) score(now time.Duration, typical float64) float64 {
	return (s.load(now) + 1) / float64(max(s.Slots, 1)) * s.slowness(typical)
}

// slowness is the factor by which the server is slower than usual, beyond the band of chance.
func (s *serverState) slowness(typical float64) float64 {
	if typical == 0 || s.latency == 0 {
		return 1
	}
	return max(1, s.latency/(typical*latencyBand))
}

// ramp is the share of requests that the server takes, from rampFloor to 1.
func (s *serverState) ramp(now time.Duration) float64 {
	if !s.ramping {
		return 1
	}
	share := rampFloor + (1-rampFloor)*float64(now-s.rampStart)/float64(rampTime)
	if share >= 1 {
		s.ramping = false
	}
	return min(share, 1)
}

func (s *serverState) answered(took time.Duration) {
	s.failures = 0
	if s.latency == 0 {
		s.latency = float64(took)
		return
	}
	s.latency += latencyWeight * (float64(took) - s.latency)
}

func (s *serverState) failed(now time.Duration, mayEject bool) {
	s.failures++
	if s.failures < failuresUntilEjected || !s.usable(now) || !mayEject {
		return
	}
	if now-s.ejectedUntil > probation {
		s.ejection = firstEjection
	}
	s.failures = 0
	s.ejectedUntil = now + s.ejection
	s.ejection = min(2*s.ejection, maxEjection)
	s.ramping = true
	s.rampStart = s.ejectedUntil
}
