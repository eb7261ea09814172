package balance

import (
	"math"
	"time"
)

// Result classifies the end of a request for the statistics of its backend server.
type Result int

const (
	// Responded means that the server returned a valid response.
	Responded Result = iota
	// Failed means that the server or its home was unreachable or returned no valid response.
	Failed
	// Neutral means that the end of the request says nothing about the server, for example after the client canceled it.
	Neutral
)

const (
	// ejectionThreshold is the number of consecutive failures after which a server is ejected.
	ejectionThreshold = 5
	// baseEjectionTime is the duration of the first ejection. It doubles with each further ejection up to
	// maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// ejectionResetTime is how long after the end of an ejection a new one starts at baseEjectionTime again.
	ejectionResetTime = time.Minute
)

// serverState holds the statistics of one server as observed by one gateway.
type serverState struct {
	Server
	inProgress int
	// latency is the moving average of the latency in nanoseconds, or 0 if unknown.
	latency float64
	// reportedLoad is the load reported by the server's home, in requests.
	reportedLoad float64
	reportedAt   time.Duration
	hasReport    bool
	// slowStartAt is the beginning of the slow start. It is only valid if slowStart is true.
	slowStartAt         time.Duration
	slowStart           bool
	consecutiveFailures int
	ejectedUntil        time.Duration
	nextEjectionTime    time.Duration
}

// newServerState returns the initial state of a server. latency is the mean of the known servers; without it
// a new server would seem fastest and attract all requests.
func newServerState(server Server, latency float64, now time.Duration) *serverState {
	return &serverState{
		Server: server, latency: latency, slowStartAt: now, slowStart: server.Cold, nextEjectionTime: baseEjectionTime,
	}
}

func (s *serverState) usable(now time.Duration) bool { return now >= s.ejectedUntil }

// load estimates the number of requests queued or in progress at the server.
func (s *serverState) load(now time.Duration) float64 {
	ownLoad := float64(s.inProgress)
	if !s.hasReport || s.latency == 0 {
		return ownLoad
	}
	age := float64(now-s.reportedAt) / (reportDecayLatencies * s.latency)
	return max(ownLoad, ownLoad+(s.reportedLoad-ownLoad)*math.Exp(-age))
}

func (s *serverState) loadPerSlot(now time.Duration) float64 {
	return s.load(now) / float64(max(s.Slots, 1))
}

// score rates the server; lower is better.
func (s *serverState) score(now time.Duration, meanLatency float64) float64 {
	return (s.load(now) + 1) / float64(max(s.Slots, 1)) * s.latencyPenalty(meanLatency)
}

// latencyPenalty returns the factor by which the server is slower than latencyTolerance times the mean, at
// least 1.
func (s *serverState) latencyPenalty(meanLatency float64) float64 {
	if meanLatency == 0 || s.latency == 0 {
		return 1
	}
	return max(1, s.latency/(meanLatency*latencyTolerance))
}

// slowStartShare returns the fraction of its requests that the server accepts, from slowStartMinShare to 1.
func (s *serverState) slowStartShare(now time.Duration) float64 {
	if !s.slowStart {
		return 1
	}
	share := slowStartMinShare + (1-slowStartMinShare)*float64(now-s.slowStartAt)/float64(slowStartDuration)
	if share >= 1 {
		s.slowStart = false
	}
	return min(share, 1)
}

func (s *serverState) recordResponse(took time.Duration) {
	s.consecutiveFailures = 0
	if s.latency == 0 {
		s.latency = float64(took)
		return
	}
	s.latency += latencyEWMAWeight * (float64(took) - s.latency)
}

func (s *serverState) recordFailure(now time.Duration, canEject bool) {
	s.consecutiveFailures++
	if s.consecutiveFailures < ejectionThreshold || !s.usable(now) || !canEject {
		return
	}
	if now-s.ejectedUntil > ejectionResetTime {
		s.nextEjectionTime = baseEjectionTime
	}
	s.consecutiveFailures = 0
	s.ejectedUntil = now + s.nextEjectionTime
	s.nextEjectionTime = min(2*s.nextEjectionTime, maxEjectionTime)
	s.slowStart = true
	s.slowStartAt = s.ejectedUntil
}
