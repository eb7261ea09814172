package ownership

import "time"

// formerGrant tracks the grants of a former holder. The keys must not be granted to another backend server until it is
// resolved.
type formerGrant struct {
	holder Holder
	token  Token
	// heldUntil is when the last grant that may have reached the holder expires.
	heldUntil time.Duration
	// unconfirmedUntil is when the last grant with an unknown outcome expires. Such a grant may take effect even after
	// the holder has confirmed a release.
	unconfirmedUntil time.Duration
	// unfenced is true if an assigner elected earlier may still renew the grant.
	unfenced bool
	released bool
	handover string
	// lostMove is true if the grant stands for moves that a restored table may lack.
	lostMove bool
	// inFlight is true while a release or a fencing grant to the holder awaits its result.
	inFlight bool
	nextSend time.Duration
}

// grant returns the grant of a former holder in a recorded table. deadline is when it has expired even if the table does
// not state it.
func (h FormerHolder) grant(now, deadline time.Duration) *formerGrant {
	g := &formerGrant{
		holder: h.Holder, token: h.Token, unfenced: h.Unfenced, heldUntil: deadline, unconfirmedUntil: deadline,
	}
	if h.HeldFor > 0 {
		g.heldUntil = min(deadline, now+h.HeldFor)
		g.unconfirmedUntil = min(deadline, now+h.UnconfirmedFor)
	}
	return g
}

// resolvedAt returns when the former holder can no longer hold the keys, as far as is known.
func (g *formerGrant) resolvedAt() time.Duration {
	if g.released {
		return min(g.heldUntil, g.unconfirmedUntil)
	}
	return g.heldUntil
}

// resolved reports whether the former holder can no longer hold the keys.
func (g *formerGrant) resolved(now time.Duration) bool { return now >= g.resolvedAt() }

// awaits reports whether an order with this token, sent to this server, is in flight. The server may have restarted
// since then, so incarnations are not compared; the token is unique among the former grants of a row.
func (g *formerGrant) awaits(server Holder, token Token) bool {
	return g.inFlight && g.holder.ID == server.ID && g.token == token
}

// fenceInFlight reports whether a fencing grant awaits its result.
func (g *formerGrant) fenceInFlight() bool { return g.inFlight && g.unfenced }
