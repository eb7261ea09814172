// Package directory tracks the backend servers that are registered in the store. It does no I/O and reads no clock.
package directory

import (
	"cmp"
	"time"
)

// Server is one incarnation of a backend server, as registered by the server itself.
type Server struct {
	// ID identifies the backend server. It stays the same across restarts.
	ID string
	// StartedAtMs is the start time, which distinguishes the incarnations of one ID.
	StartedAtMs int64
	// Sequence rises whenever an incarnation changes its entry.
	Sequence uint64
	Service  string
	// Addr is the IP address and port.
	Addr  string
	Zone  string
	Slots int
	// Draining is true if the server is shutting down and accepts no new requests.
	Draining bool
	// WarmupLeft is the warm-up time that remained when the entry was written.
	WarmupLeft time.Duration
}

// Incarnation identifies one run of a backend server, from its start to its end.
type Incarnation struct {
	ID          string
	StartedAtMs int64
}

// Compare orders incarnations by ID and start time.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.ID, other.ID), cmp.Compare(i.StartedAtMs, other.StartedAtMs))
}

// Incarnation returns the incarnation that the entry describes.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, StartedAtMs: s.StartedAtMs} }
