package ownership

import (
	"slices"
	"time"
)

// Move gives keys to another backend server.
type Move struct {
	Keys Keys
	To   Holder
}

// Apply changes the owners of keys. Each move must lie within one row. Moves of rows with an order under way are
// left out and planned again later. It returns the number of keys that change hands, and whether all moves were made.
func (a *Assigner) Apply(moves []Move, now time.Duration) (moved int, all bool) {
	all = true
	for _, move := range moves {
		if a.apply(move, now) {
			moved += move.Keys.Count()
		} else {
			all = false
		}
	}
	return moved, all
}

func (a *Assigner) apply(move Move, now time.Duration) bool {
	i := slices.IndexFunc(a.rows, func(r *rowState) bool { return r.keys.Contains(move.Keys.First) })
	if i < 0 || !a.rows[i].keys.Contains(move.Keys.Last) || a.rows[i].busy() {
		return false
	}
	r := a.rows[i]
	if r.owner.SameIncarnation(move.To) || a.HasTerminated(move.To) {
		return false
	}
	if r.moving && r.keys != move.Keys {
		// The handover of a release belongs to exactly the keys that were released.
		return false
	}
	target := a.cut(i, move.Keys)
	target.leave(a.HasTerminated(target.owner))
	target.owner = move.To
	target.token = a.newToken()
	target.moving = true
	target.nextSend = now
	a.change(target)
	return true
}

// cut splits a row so that one row has exactly the keys, and returns that row.
func (a *Assigner) cut(i int, keys Keys) *rowState {
	r := a.rows[i]
	if r.keys == keys {
		return r
	}
	var pieces []*rowState
	if r.keys.First < keys.First {
		pieces = append(pieces, r.part(Keys{First: r.keys.First, Last: keys.First - 1}))
	}
	middle := r.part(keys)
	pieces = append(pieces, middle)
	if keys.Last < r.keys.Last {
		pieces = append(pieces, r.part(Keys{First: keys.Last + 1, Last: r.keys.Last}))
	}
	// A piece without a move keeps its token: its backend server already holds these keys with it.
	for _, piece := range pieces {
		a.change(piece)
	}
	a.rows = slices.Replace(a.rows, i, i+1, pieces...)
	return middle
}

// RefreshRows gives new tokens to rows whose owner has seen a higher one, and joins neighbouring rows of one owner
// if there are more than the given number, so that fewer grants have to be renewed.
func (a *Assigner) RefreshRows(maxRows int) {
	for _, r := range a.rows {
		if r.stale && !r.busy() {
			r.stale = false
			r.token = a.newToken()
			a.change(r)
		}
	}
	for i := 0; i+1 < len(a.rows) && len(a.rows) > maxRows; {
		if !a.join(i) {
			i++
		}
	}
}

// join merges a row with the next one if both are settled with the same owner.
func (a *Assigner) join(i int) bool {
	left, right := a.rows[i], a.rows[i+1]
	if !left.owner.SameIncarnation(right.owner) || left.owner.IsZero() || left.moving || right.moving || left.busy() || right.busy() {
		return false
	}
	joined := left.part(Keys{First: left.keys.First, Last: right.keys.Last})
	joined.heldUntil = max(left.heldUntil, right.heldUntil)
	joined.unsettledUntil = max(left.unsettledUntil, right.unsettledUntil)
	joined.inherited = left.inherited || right.inherited
	joined.nextSend = 0
	joined.token = a.newToken()
	a.change(joined)
	a.rows = slices.Replace(a.rows, i, i+2, joined)
	return true
}
