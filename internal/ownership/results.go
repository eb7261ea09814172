package ownership

import (
	"time"

	"github.com/cockroachdb/errors"
)

// handleReleaseResult processes the result of a release sent to a former holder.
func (a *Assigner) handleReleaseResult(r *rowState, result Result) {
	server := result.Order.Release.Server
	for _, g := range r.formerGrants {
		if !g.awaits(server, result.Order.Release.Token) {
			continue
		}
		g.inFlight = false
		g.nextSend = result.At + a.settings.RetryInterval
		switch {
		case result.Err == nil:
			g.released = true
			g.handover = result.Handover
		case errors.Is(result.Err, ErrServerReplaced):
			a.MarkTerminated(server)
		}
	}
}

// handleFenceResult processes the result of a fencing grant. If it succeeded, the former holder refuses further orders
// from earlier assigners.
func (a *Assigner) handleFenceResult(r *rowState, result Result) {
	for _, g := range r.formerGrants {
		if !g.awaits(result.Order.Grant.Server, result.Order.Grant.Token) {
			continue
		}
		g.inFlight = false
		g.nextSend = result.At + a.settings.RetryInterval
		switch {
		case result.Err == nil:
			g.unfenced = false
			g.nextSend = result.At
			g.heldUntil = result.At + a.settings.maxHold()
			g.unconfirmedUntil = g.heldUntil
		case errors.Is(result.Err, ErrServerReplaced):
			a.MarkTerminated(result.Order.Grant.Server)
		case notAccepted(result.Err) && a.HasTerminated(result.Order.Grant.Server):
			g.heldUntil = 0
		}
	}
}

// notAccepted reports whether an order that failed was certainly not accepted.
func notAccepted(err error) bool { return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRejected) }

// handleGrantResult processes the result of a grant sent to the owner.
func (a *Assigner) handleGrantResult(r *rowState, result Result) {
	r.inFlight = false
	switch {
	case result.Err == nil:
		a.grantSucceeded(r, result.At)
	case errors.Is(result.Err, ErrStaleToken):
		r.tokenOutdated = true
		a.grantUnconfirmed(r, result)
	case errors.Is(result.Err, ErrServerReplaced):
		a.MarkTerminated(result.Order.Grant.Server)
		r.heldUntil, r.unconfirmedUntil = 0, 0
		r.underWay = false
		r.nextSend = result.At + a.settings.RetryInterval
	case notAccepted(result.Err):
		r.underWay = false
		// Only earlier grants count.
		r.heldUntil = min(r.heldUntil, result.Order.heldBefore)
		r.nextSend = result.At + a.settings.RetryInterval
	default:
		a.grantUnconfirmed(r, result)
	}
}

func (a *Assigner) grantSucceeded(r *rowState, now time.Duration) {
	r.heldUntil = max(r.heldUntil, now+a.settings.maxHold())
	if r.inherited {
		// The owner refuses further orders from earlier assigners, but those that it received before may still take
		// effect.
		r.unconfirmedUntil = now + a.settings.maxHold()
		r.heldUntil = now + a.settings.maxHold()
		r.inherited = false
	}
	r.nextSend = now + a.settings.RenewInterval
	if r.moving {
		r.moving = false
		a.keepOwnUnconfirmedGrants(r, now)
		r.formerGrants = nil
		a.markChanged(r)
	}
}

// keepOwnUnconfirmedGrants extends unconfirmedUntil of a row whose owner held the keys before, because earlier grants
// to it may still take effect.
func (a *Assigner) keepOwnUnconfirmedGrants(r *rowState, now time.Duration) {
	for _, g := range r.formerGrants {
		if !g.holder.SameIncarnation(r.owner) {
			continue
		}
		end := g.unconfirmedUntil
		if g.unfenced {
			end = now + a.settings.maxHold()
		}
		r.unconfirmedUntil = max(r.unconfirmedUntil, end)
	}
}

// grantUnconfirmed handles a grant whose outcome is unknown: it may have taken effect or may do so later. Its duration
// counts from its arrival.
func (a *Assigner) grantUnconfirmed(r *rowState, result Result) {
	end := result.Order.sentAt + a.settings.OrderTimeout + a.settings.maxHold()
	r.unconfirmedUntil = max(r.unconfirmedUntil, end)
	r.nextSend = result.At + a.settings.RetryInterval
}
