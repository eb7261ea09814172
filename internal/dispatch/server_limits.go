package dispatch

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/quota"
)

// serverLimits are the limits of the request rate of one backend server. A request needs to be within all of them.
type serverLimits struct {
	// named is the limit that the server names in its responses.
	named *quota.Limiter
	// slowStart is the limit for the time after its start.
	slowStart *quota.Limiter
}

func newServerLimits(draw float64, slowStart quota.SlowStart) serverLimits {
	return serverLimits{named: quota.NewLimiter(draw), slowStart: quota.NewSlowStartLimiter(draw, slowStart)}
}

// setSlowStart switches the limit for the time after the start on, with a rate in requests a second, or off if that is 0.
func (l serverLimits) setSlowStart(rate float64, now time.Duration) {
	switch {
	case rate > 0 && l.slowStart.Statement().Limit != rate:
		l.slowStart.Start(rate, now)
	case rate == 0 && l.slowStart.Limited():
		l.slowStart.Stop(now)
	}
}

// limited reports whether any limit is in force.
func (l serverLimits) limited() bool { return l.named.Limited() || l.slowStart.Limited() }

// admits reports whether a request may be sent.
func (l serverLimits) admits(now time.Duration, gateways int) bool {
	return l.named.Admits(now, gateways) && l.slowStart.Admits(now, gateways)
}

// take counts a request that is sent.
func (l serverLimits) take(now time.Duration, gateways int) {
	l.named.Take(now, gateways)
	l.slowStart.Take(now, gateways)
}

// giveBack takes back a request that was not sent after all.
func (l serverLimits) giveBack() {
	l.named.Return()
	l.slowStart.Return()
}

// want counts a request for which the server is wanted.
func (l serverLimits) want() {
	l.named.Want()
	l.slowStart.Want()
}

// wait returns the expected time until a request of a level of urgency is admitted, after ahead others.
func (l serverLimits) wait(level, ahead int, now time.Duration, gateways int) time.Duration {
	wait := time.Duration(0)
	for _, limiter := range []*quota.Limiter{l.named, l.slowStart} {
		if limiter.Limited() && !limiter.Admits(now, gateways) {
			wait = max(wait, limiter.Wait(level, ahead, now, gateways))
		}
	}
	return wait
}

// reports returns the reports to the elected gateway that are due. waiting are the requests that wait for a permit.
func (l serverLimits) reports(server uint32, waiting quota.Waiting, now time.Duration, gateways int) []quota.Report {
	var reports []quota.Report
	for _, limiter := range []*quota.Limiter{l.named, l.slowStart} {
		if usage, due := limiter.Report(now, gateways, waiting); due {
			reports = append(reports, quota.Report{
				Server: server, Kind: limiter.Kind(), Statement: limiter.Statement(), Usage: usage,
			})
		}
	}
	return reports
}
