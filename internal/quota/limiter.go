package quota

import "time"

const (
	// allocationTimeout is how long after the last message with permits a gateway relies on the elected one. It is longer
	// than the pause between two such messages, also if one is late.
	allocationTimeout = 1500 * time.Millisecond
	// reportPause is the longest time between two reports on a limited server without any demand for it.
	reportPause = time.Second
	// endedRetention is how long the end of a limit is reported, so that every gateway learns of it.
	endedRetention = 5 * time.Second
	// firstAllocation is the expected time from the start of a limit until the elected gateway issues the first permits.
	firstAllocation = 300 * time.Millisecond
)

// Usage is what a gateway did with the rate of a backend server since its last report.
type Usage struct {
	// Wanted is the number of requests for which the server was wanted, whether or not they were sent to it.
	Wanted int
	// Waiting are the requests that wait for a permit now.
	Waiting Waiting
	// Used and Returned are the numbers of permits that were used and that expired or were given back.
	Used, Returned int
}

// Limiter admits the requests of one gateway to one backend server.
type Limiter struct {
	kind      Kind
	termsOf   func(limit float64) Terms
	statement Statement
	share     localShare
	// startedAt is the time at which the last limit started.
	startedAt time.Duration
	// expiries are the times at which the unused permits expire, the earliest first.
	expiries []time.Duration
	// waits are the expected times until the elected gateway issues a permit, if there is a request for it.
	waits Waits
	// allocatedUntil is the time until which permits are relied on.
	allocatedUntil time.Duration
	usage          Usage
	reportedAt     time.Duration
	// reported and reportedWaiting are the statement and the number of waiting requests in the last report.
	reported        Statement
	reportedWaiting Waiting
	// endedAt is the time at which the last limit ended, or 0 if none has.
	endedAt time.Duration
}

// NewLimiter returns the limiter of a server that has not named a limit. draw is a random number of at least 0 and less
// than 1, which spreads the choices that several gateways make without talking to each other.
func NewLimiter(draw float64) *Limiter {
	return &Limiter{kind: KindNamed, termsOf: namedTerms, share: localShare{draw: draw}}
}

// NewSlowStartLimiter returns the limiter of a server for the time after its start. Start and Stop switch it on and off. draw
// is as in NewLimiter.
func NewSlowStartLimiter(draw float64, bound SlowStart) *Limiter {
	return &Limiter{kind: KindSlowStart, termsOf: bound.terms, share: localShare{draw: draw}}
}

// Start limits the requests to a rate, in requests a second, as of now.
func (l *Limiter) Start(rate float64, now time.Duration) {
	l.Observe(Statement{Limited: true, Limit: rate, At: now}, now)
}

// Stop ends the limit.
func (l *Limiter) Stop(now time.Duration) { l.Observe(Statement{At: now}, now) }

// Observe applies a statement of the server unless a newer one is known. It reports whether the limit changed.
func (l *Limiter) Observe(statement Statement, now time.Duration) bool {
	before := l.statement
	if !statement.NewerThan(before) {
		return false
	}
	l.statement = statement
	if !before.Limited && statement.Limited {
		l.expiries, l.allocatedUntil, l.startedAt = nil, 0, now
		l.share.reset(now)
	}
	if before.Limited && !statement.Limited {
		l.endedAt = now
	}
	return !before.sameLimit(statement)
}

// Kind returns the kind of the limit.
func (l *Limiter) Kind() Kind { return l.kind }

// Statement returns the newest statement of the server.
func (l *Limiter) Statement() Statement { return l.statement }

// Limited reports whether the server limits its requests.
func (l *Limiter) Limited() bool { return l.statement.Limited }

// allocated reports whether permits of the elected gateway are relied on.
func (l *Limiter) allocated(now time.Duration) bool { return now < l.allocatedUntil }

// Allocate applies what the elected gateway allocated. It reports whether the limit changed. A statement that is known
// already is not taken as a newer one, because the age that another gateway states does not include the time of its
// message. A limit that each gateway knows by itself is not learned from a grant.
func (l *Limiter) Allocate(grant Grant, now time.Duration) bool {
	changed := l.kind == KindNamed && !l.statement.sameLimit(grant.Statement) && l.Observe(grant.Statement, now)
	if !l.statement.Limited {
		return changed
	}
	l.allocatedUntil, l.waits = now+allocationTimeout, grant.Waits
	for range grant.Permits {
		l.expiries = append(l.expiries, now+l.terms().PermitLifetime)
	}
	return changed
}

// Admits reports whether a request may be sent to the server. gateways is the number of gateways.
func (l *Limiter) Admits(now time.Duration, gateways int) bool {
	if !l.statement.Limited {
		return true
	}
	l.advance(now, gateways)
	return len(l.expiries) > 0 || !l.allocated(now) && l.share.tokens >= 1
}

// Take counts a request that is sent to the server.
func (l *Limiter) Take(now time.Duration, gateways int) {
	if !l.statement.Limited {
		return
	}
	l.advance(now, gateways)
	if len(l.expiries) > 0 {
		l.expiries = l.expiries[1:]
		l.usage.Used++
		return
	}
	l.share.take()
}

// Return gives back a permit that Take took for a request that was not sent after all. The elected gateway issues it again.
func (l *Limiter) Return() {
	if l.usage.Used > 0 {
		l.usage.Used--
		l.usage.Returned++
	}
}

// Want counts a request for which the server is wanted.
func (l *Limiter) Want() {
	if l.statement.Limited {
		l.usage.Wanted++
	}
}

// Wait returns the expected time until a request of a level of urgency is admitted, after ahead others of this gateway.
func (l *Limiter) Wait(level, ahead int, now time.Duration, gateways int) time.Duration {
	if l.allocated(now) {
		return l.waits[level] + perRate(ahead, l.statement.effectiveLimit())
	}
	wait := perRate(ahead+1, l.share.rate(l.statement.effectiveLimit(), l.terms(), gateways))
	if now-l.startedAt < firstAllocation {
		return min(wait, firstAllocation+perRate(ahead, l.statement.effectiveLimit()))
	}
	return wait
}

// terms returns the terms of the limit in force.
func (l *Limiter) terms() Terms { return l.termsOf(l.statement.effectiveLimit()) }

// perRate returns the time in which a number of requests is sent, at most a minute.
func perRate(count int, rate float64) time.Duration {
	if count == 0 {
		return 0
	}
	if seconds := float64(count) / rate; rate > 0 && seconds < time.Minute.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return time.Minute
}

// advance drops permits that have expired, and accrues the local share while there are no permits to rely on.
func (l *Limiter) advance(now time.Duration, gateways int) {
	for len(l.expiries) > 0 && l.expiries[0] <= now {
		l.expiries = l.expiries[1:]
		l.usage.Returned++
	}
	if l.allocated(now) {
		l.share.reset(now)
		return
	}
	l.share.advance(now, l.statement.effectiveLimit(), l.terms(), gateways)
}

// Report returns the usage since the last report, and whether there is anything to report. waiting are the requests
// that wait for a permit.
func (l *Limiter) Report(now time.Duration, gateways int, waiting Waiting) (Usage, bool) {
	if l.statement.Limited {
		l.advance(now, gateways)
	}
	relevant := l.statement.Limited || l.endedAt > 0 && now-l.endedAt < endedRetention
	changed := !l.reported.sameLimit(l.statement)
	l.usage.Waiting = waiting
	changed = changed || l.usage != Usage{Waiting: l.reportedWaiting}
	if !relevant || !changed && now-l.reportedAt < reportPause {
		return Usage{}, false
	}
	usage := l.usage
	l.usage, l.reported, l.reportedAt, l.reportedWaiting = Usage{}, l.statement, now, waiting
	return usage, true
}
