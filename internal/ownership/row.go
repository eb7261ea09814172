package ownership

import "time"

// rowState is a row with what its assigner knows about grants.
type rowState struct {
	keys   Keys
	owner  Holder
	token  Token
	moving bool
	guards []*guard
	// changed is the sequence number of the last change. Orders wait until it is recorded.
	changed uint64
	// heldUntil and unsettledUntil are those of the owner's own grants, as in guard.
	heldUntil      time.Duration
	unsettledUntil time.Duration
	// sending is true while a grant is under way.
	sending  bool
	nextSend time.Duration
	// inherited is true until the owner has answered the first grant of this assigner.
	inherited bool
	// stale is true if the owner has seen a higher token.
	stale bool
}

// guarded reports whether another backend server than the owner may hold the keys.
func (r *rowState) guarded(now time.Duration) bool {
	for _, g := range r.guards {
		if !g.holder.SameIncarnation(r.owner) && !g.clear(now) {
			return true
		}
	}
	return false
}

// handover returns the name of the state that the last holder left.
func (r *rowState) handover() string {
	for i := len(r.guards) - 1; i >= 0; i-- {
		if r.guards[i].handover != "" {
			return r.guards[i].handover
		}
	}
	return ""
}

// row returns the recorded form.
func (r *rowState) row(now time.Duration) Row {
	row := Row{Keys: r.keys, Owner: r.owner, Token: r.token, Moving: r.moving, Confirmed: now >= r.unsettledUntil}
	for _, g := range r.guards {
		if !g.clear(now) {
			row.Former = append(row.Former, FormerHolder{Holder: g.holder, Token: g.token, Unfenced: g.unfenced})
		}
	}
	return row
}

// part returns a copy for some of the keys. The row must have no order under way.
func (r *rowState) part(keys Keys) *rowState {
	piece := *r
	piece.keys = keys
	piece.guards = nil
	for _, g := range r.guards {
		copied := *g
		piece.guards = append(piece.guards, &copied)
	}
	return &piece
}

// busy reports whether an order about the keys is under way.
func (r *rowState) busy() bool {
	if r.sending {
		return true
	}
	for _, g := range r.guards {
		if g.sending {
			return true
		}
	}
	return false
}

// leave makes the owner a former holder, unless it has ended and so holds nothing.
func (r *rowState) leave(ended bool) {
	if !r.owner.IsZero() && !ended {
		r.addGuard()
	}
	r.heldUntil, r.unsettledUntil = 0, 0
	r.inherited, r.stale = false, false
}

// addGuard keeps the keys from others while the owner may hold them.
func (r *rowState) addGuard() {
	r.guards = append(r.guards, &guard{
		holder:         r.owner,
		token:          r.token,
		heldUntil:      r.heldUntil,
		unsettledUntil: r.unsettledUntil,
		unfenced:       r.inherited,
	})
}
