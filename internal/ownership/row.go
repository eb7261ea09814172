package ownership

import "time"

// rowState is a row together with the state of its grants.
type rowState struct {
	keys         Keys
	owner        Holder
	token        Token
	moving       bool
	formerGrants []*formerGrant
	// changeSeq is the sequence number of the last change. No orders are sent until it has been recorded.
	changeSeq uint64
	// heldUntil and unconfirmedUntil apply to the grants of the owner, as in formerGrant.
	heldUntil        time.Duration
	unconfirmedUntil time.Duration
	// inFlight is true while a grant to the owner awaits its result.
	inFlight bool
	nextSend time.Duration
	// inherited is true until the owner has confirmed the first grant of this assigner. Until then, an assigner elected
	// earlier may still renew the owner's grant.
	inherited bool
	// underWay is true if the owner's incarnation ended while a grant to it was under way, which may have been accepted by
	// another one at its address.
	underWay bool
	// tokenOutdated is true if the owner has seen a higher token.
	tokenOutdated bool
}

// heldByFormer reports whether a backend server other than the owner may still hold the keys.
func (r *rowState) heldByFormer(now time.Duration) bool {
	for _, g := range r.formerGrants {
		if !g.holder.SameIncarnation(r.owner) && !g.resolved(now) {
			return true
		}
	}
	return false
}

// handover returns the name of the state left by the most recent holder that reported one.
func (r *rowState) handover() string {
	for i := len(r.formerGrants) - 1; i >= 0; i-- {
		if r.formerGrants[i].handover != "" {
			return r.formerGrants[i].handover
		}
	}
	return ""
}

// row returns the row in the form used in tables.
func (r *rowState) row(now time.Duration) Row {
	row := Row{Keys: r.keys, Owner: r.owner, Token: r.token, Moving: r.moving, Confirmed: now >= r.unconfirmedUntil}
	for _, g := range r.formerGrants {
		if !g.resolved(now) {
			row.Former = append(row.Former, FormerHolder{
				Holder: g.holder, Token: g.token, Unfenced: g.unfenced, HeldFor: g.resolvedAt() - now,
				UnconfirmedFor: max(0, g.unconfirmedUntil-now),
			})
		}
	}
	return row
}

// copyFor returns a copy of the row that is limited to the given keys. The row must have no order in flight.
func (r *rowState) copyFor(keys Keys) *rowState {
	piece := *r
	piece.keys = keys
	piece.formerGrants = nil
	for _, g := range r.formerGrants {
		copied := *g
		piece.formerGrants = append(piece.formerGrants, &copied)
	}
	return &piece
}

// orderInFlight reports whether an order about the row awaits its result.
func (r *rowState) orderInFlight() bool {
	if r.inFlight {
		return true
	}
	for _, g := range r.formerGrants {
		if g.inFlight {
			return true
		}
	}
	return false
}

// clearOwnerGrant resets the state of the grants of the owner before the row gets another one.
func (r *rowState) clearOwnerGrant() {
	r.heldUntil, r.unconfirmedUntil = 0, 0
	r.inherited, r.tokenOutdated, r.underWay = false, false, false
}

// addFormerGrant records the grant of the current owner under the incarnation that received it, so that the keys are
// not granted to others while that one may hold them.
func (r *rowState) addFormerGrant(holder Holder) {
	r.formerGrants = append(r.formerGrants, &formerGrant{
		holder:           holder,
		token:            r.token,
		heldUntil:        r.heldUntil,
		unconfirmedUntil: r.unconfirmedUntil,
		unfenced:         r.inherited,
	})
}
