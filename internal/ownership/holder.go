package ownership

// Holder is one life of a backend server that holds keys, or may hold them.
type Holder struct {
	ID string
	// Born distinguishes the lives of one ID: a life holds nothing of what an earlier one held.
	Born int64
	Addr string
}

// IsZero reports whether there is no holder.
func (h Holder) IsZero() bool { return h.ID == "" }

// SameIncarnation reports whether both are the same life of the same backend server.
func (h Holder) SameIncarnation(other Holder) bool { return h.ID == other.ID && h.Born == other.Born }
