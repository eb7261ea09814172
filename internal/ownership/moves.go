package ownership

import (
	"slices"
	"time"
)

// Move reassigns a range of keys to another backend server.
type Move struct {
	Keys Keys
	To   Holder
}

// Apply reassigns keys. Each move must lie within one row. Moves of rows with an order in flight are skipped; the
// caller plans them again later. It returns the number of keys that were reassigned and whether all moves were applied.
func (a *Assigner) Apply(moves []Move, now time.Duration) (moved int, all bool) {
	all = true
	for _, move := range moves {
		if a.applyMove(move, now) {
			moved += move.Keys.Count()
		} else {
			all = false
		}
	}
	return moved, all
}

func (a *Assigner) applyMove(move Move, now time.Duration) bool {
	i := slices.IndexFunc(a.rows, func(r *rowState) bool { return r.keys.Contains(move.Keys.First) })
	if i < 0 || !a.rows[i].keys.Contains(move.Keys.Last) || a.rows[i].orderInFlight() {
		return false
	}
	r := a.rows[i]
	if r.owner.SameIncarnation(move.To) || a.HasTerminated(move.To) {
		return false
	}
	if r.moving && r.keys != move.Keys {
		// The state handed over by a release covers exactly the released keys, so the row must not be split.
		return false
	}
	target := a.splitRow(i, move.Keys)
	receiver, received := a.receiver(target.owner)
	switch {
	case received:
		target.addFormerGrant(receiver)
	case target.underWay:
		target.addFormerGrant(target.owner)
	}
	target.clearOwnerGrant()
	target.owner = move.To
	target.token = a.newToken()
	target.moving = true
	target.nextSend = now
	a.markChanged(target)
	return true
}

// splitRow splits the row with the given index so that one row has exactly these keys, and returns that row.
func (a *Assigner) splitRow(i int, keys Keys) *rowState {
	r := a.rows[i]
	if r.keys == keys {
		return r
	}
	var pieces []*rowState
	if r.keys.First < keys.First {
		pieces = append(pieces, r.copyFor(Keys{First: r.keys.First, Last: keys.First - 1}))
	}
	middle := r.copyFor(keys)
	pieces = append(pieces, middle)
	if keys.Last < r.keys.Last {
		pieces = append(pieces, r.copyFor(Keys{First: keys.Last + 1, Last: r.keys.Last}))
	}
	// Pieces that are not reassigned keep their token: the backend server already holds their keys with it.
	for _, piece := range pieces {
		a.markChanged(piece)
	}
	a.rows = slices.Replace(a.rows, i, i+1, pieces...)
	return middle
}

// RefreshRows assigns new tokens to rows whose owner has seen a higher one. If there are more than maxRows rows, it
// also merges adjacent rows with the same owner to reduce the number of grants to renew.
func (a *Assigner) RefreshRows(maxRows int) {
	for _, r := range a.rows {
		if r.tokenOutdated && !r.orderInFlight() {
			r.tokenOutdated = false
			r.token = a.newToken()
			a.markChanged(r)
		}
	}
	for i := 0; i+1 < len(a.rows) && len(a.rows) > maxRows; {
		if !a.mergeWithNext(i) {
			i++
		}
	}
}

// mergeWithNext merges a row with the next one if both have the same owner, are not moving and have no order in flight.
// It reports whether it did.
func (a *Assigner) mergeWithNext(i int) bool {
	left, right := a.rows[i], a.rows[i+1]
	if !left.owner.SameIncarnation(right.owner) || left.owner.IsZero() || left.moving || right.moving ||
		left.orderInFlight() || right.orderInFlight() {
		return false
	}
	merged := left.copyFor(Keys{First: left.keys.First, Last: right.keys.Last})
	merged.heldUntil = max(left.heldUntil, right.heldUntil)
	merged.unconfirmedUntil = max(left.unconfirmedUntil, right.unconfirmedUntil)
	merged.inherited = left.inherited || right.inherited
	merged.underWay = left.underWay || right.underWay
	merged.nextSend = 0
	merged.token = a.newToken()
	a.markChanged(merged)
	a.rows = slices.Replace(a.rows, i, i+2, merged)
	return true
}
