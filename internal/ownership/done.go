package ownership

import (
	"time"

	"github.com/cockroachdb/errors"
)

// releaseDone notes that a former holder has given up the keys, or did not answer.
func (a *Assigner) releaseDone(r *rowState, result Result) {
	server := result.Order.Release.Server
	for _, g := range r.guards {
		if !g.holder.SameIncarnation(server) || !g.sending || g.token != result.Order.Release.Token {
			continue
		}
		g.sending = false
		g.nextTry = result.At + a.settings.RetryInterval
		switch {
		case result.Err == nil:
			g.released = true
			g.handover = result.Handover
		case errors.Is(result.Err, ErrServerReplaced):
			a.MarkTerminated(server)
		}
	}
}

// fenceDone notes that a former holder refuses what an earlier assigner sends from now on, or that this is not known.
func (a *Assigner) fenceDone(r *rowState, result Result) {
	for _, g := range r.guards {
		if !g.holder.SameIncarnation(result.Order.Grant.Server) || !g.sending || g.token != result.Order.Grant.Token {
			continue
		}
		g.sending = false
		g.nextTry = result.At + a.settings.RetryInterval
		switch {
		case result.Err == nil:
			g.unfenced = false
			g.nextTry = result.At
			g.heldUntil = result.At + a.settings.heldFor()
			g.unsettledUntil = g.heldUntil
		case errors.Is(result.Err, ErrServerReplaced):
			a.MarkTerminated(result.Order.Grant.Server)
		}
	}
}

// grantDone notes that the owner has the keys, or that this is not known.
func (a *Assigner) grantDone(r *rowState, result Result) {
	r.sending = false
	switch {
	case result.Err == nil:
		a.granted(r, result.At)
	case errors.Is(result.Err, ErrStaleToken):
		r.stale = true
		a.unanswered(r, result)
	case errors.Is(result.Err, ErrServerReplaced):
		a.MarkTerminated(result.Order.Grant.Server)
		r.heldUntil, r.unsettledUntil = 0, 0
		r.nextSend = result.At + a.settings.RetryInterval
	default:
		a.unanswered(r, result)
	}
}

func (a *Assigner) granted(r *rowState, now time.Duration) {
	r.heldUntil = max(r.heldUntil, now+a.settings.heldFor())
	if r.inherited {
		// The owner refuses what an earlier assigner sends from now on. What came before may still take effect.
		r.unsettledUntil = now + a.settings.heldFor()
		r.heldUntil = now + a.settings.heldFor()
		r.inherited = false
	}
	r.nextSend = now + a.settings.RenewInterval
	if r.moving {
		r.moving = false
		a.inheritGuards(r, now)
		r.guards = nil
		a.change(r)
	}
}

// inheritGuards keeps what may still take effect at an owner that had the keys before.
func (a *Assigner) inheritGuards(r *rowState, now time.Duration) {
	for _, g := range r.guards {
		if !g.holder.SameIncarnation(r.owner) {
			continue
		}
		end := g.unsettledUntil
		if g.unfenced {
			end = now + a.settings.heldFor()
		}
		r.unsettledUntil = max(r.unsettledUntil, end)
	}
}

// unanswered notes a grant that may have taken effect, or may do so later. Its time counts from its arrival.
func (a *Assigner) unanswered(r *rowState, result Result) {
	end := result.Order.sentAt + a.settings.OrderTimeout + a.settings.heldFor()
	r.unsettledUntil = max(r.unsettledUntil, end)
	r.nextSend = result.At + a.settings.RetryInterval
}
