package ownership

import "time"

// guard keeps keys from being granted to another backend server while a former holder may hold them.
type guard struct {
	holder Holder
	token  Token
	// heldUntil is when the last grant that may have arrived has run out.
	heldUntil time.Duration
	// unsettledUntil is when the last grant without an answer has run out. Such a grant may take effect after
	// a release was answered.
	unsettledUntil time.Duration
	// unfenced is true if an assigner that was elected before may still renew the keys.
	unfenced bool
	released bool
	handover string
	// sending is true while a release is under way.
	sending bool
	nextTry time.Duration
}

// clear reports whether the former holder cannot hold the keys any more.
func (g *guard) clear(now time.Duration) bool {
	if now >= g.heldUntil {
		return true
	}
	return g.released && now >= g.unsettledUntil
}
