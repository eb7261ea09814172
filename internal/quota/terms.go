package quota

import (
	"math"
	"time"
)

// Terms bound how far the requests of all gateways together may exceed a limit for a short time.
type Terms struct {
	// PermitLifetime is how long a gateway may use a permit.
	PermitLifetime time.Duration
	// MaxPermits is the number of permits that may be issued at once.
	MaxPermits float64
	// Sharers is the largest number of gateways that each use an equal share without permits. If there are more, Drawn of
	// them do on average, drawn at random. Each of them may send one request at once, and then DrawnRate requests a second
	// at most.
	Sharers, Drawn, DrawnRate float64
}

// Kind is the kind of a limit.
type Kind int

const (
	// KindNamed is a limit that a backend server names in its responses. All gateways learn it from any of them.
	KindNamed Kind = iota
	// KindSlowStart limits the rate of a backend server that has just started. Each gateway knows it from the server's
	// entry.
	KindSlowStart
)

const (
	// namedPermitLifetime is how long a gateway may use a permit of a limit that a server names.
	namedPermitLifetime = time.Second
	// burstShare and extraBurst bound the permits that are issued at once: burstShare seconds of the limit, and
	// extraBurst more. With permits that were issued up to namedPermitLifetime earlier, the requests in 4 s stay below
	// one and a half times what the limit allows and 5 more.
	burstShare = 0.5
	extraBurst = 2
	// sharersPerLimit and extraSharers bound the gateways that use a limit without permits: in 4 s they may together
	// exceed 4 times the limit by twice the limit and 5 requests.
	sharersPerLimit = 2
	extraSharers    = 3
	// drawnPerLimit and extraDrawn give the mean number of sharers where they are drawn at random. It is lower, because
	// the number that is drawn varies.
	drawnPerLimit = 1
	extraDrawn    = 2
)

// namedTerms returns the terms of a limit that a server names, in requests a second.
func namedTerms(limit float64) Terms {
	return Terms{
		PermitLifetime: namedPermitLifetime,
		MaxPermits:     burstShare*limit + extraBurst,
		Sharers:        sharersPerLimit*limit + extraSharers,
		Drawn:          drawnPerLimit*limit + extraDrawn,
		DrawnRate:      limit,
	}
}

// SlowStart is how far the requests to a backend server that has just started may exceed its rate in any one second: they
// are at most Overshoot times the rate, plus Slack.
type SlowStart struct {
	// Overshoot is a factor of at least 1.
	Overshoot float64
	// Slack is a number of requests.
	Slack float64
}

const (
	// slowStartPermitLifetime is short, because permits that are saved up arrive in one second together with new ones.
	slowStartPermitLifetime = 500 * time.Millisecond
	// slowStartDrawnRate is below 1, so that a sharer that is drawn sends at most one request in any one second.
	slowStartDrawnRate = 0.9
	// drawnDeviations is the number of standard deviations by which the number of sharers that are drawn may exceed its
	// mean. It exceeds the mean by more in less than one draw in a thousand.
	drawnDeviations = 4
)

// Bound returns the most requests that a server with this rate, in requests a second, takes in any one second.
func (s SlowStart) Bound(rate float64) float64 { return s.Overshoot*rate + s.Slack }

// terms returns the terms of a rate in requests a second. In one second, the gateways with permits send at most the rate,
// MaxPermits and what was issued within PermitLifetime before; those without send the rate and one request for each sharer,
// or one for each sharer that is drawn. Both may happen at once, if some gateways do not reach the elected one.
func (s SlowStart) terms(rate float64) Terms {
	excess := max(0, s.Bound(rate)-rate*(1+slowStartPermitLifetime.Seconds()))
	const ways = 2
	each := max(1, excess/ways)
	return Terms{
		PermitLifetime: slowStartPermitLifetime, MaxPermits: each, Sharers: each,
		Drawn: meanBelow(s.Bound(rate) - each), DrawnRate: slowStartDrawnRate,
	}
}

// meanBelow returns the mean of a random number of sharers that stays below a bound in almost all draws. The variance of the
// number is at most its mean.
func meanBelow(bound float64) float64 {
	root := (math.Sqrt(drawnDeviations*drawnDeviations+4*max(0, bound)) - drawnDeviations) / 2
	return root * root
}

// termsOf returns the function from a limit to its terms.
func (s SlowStart) termsOf(kind Kind) func(limit float64) Terms {
	if kind == KindSlowStart {
		return s.terms
	}
	return namedTerms
}
