package ownership

// Holder is one incarnation of a backend server that holds keys or may hold them.
type Holder struct {
	ID string
	// StartedAtMs is the start time, which distinguishes the incarnations of one ID. An incarnation holds none of the keys
	// of an earlier one.
	StartedAtMs int64
	Addr        string
}

// IsZero reports whether h stands for no holder.
func (h Holder) IsZero() bool { return h.ID == "" }

// SameIncarnation reports whether both are the same incarnation of the same backend server, whatever their addresses.
func (h Holder) SameIncarnation(other Holder) bool {
	return h.ID == other.ID && h.StartedAtMs == other.StartedAtMs
}
