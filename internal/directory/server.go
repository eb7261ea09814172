// Package directory keeps the backend servers that the platform's store names. It is pure.
package directory

import "time"

// Server is one life of a backend server, as it describes itself.
type Server struct {
	// ID names the backend server. It may start again under the same ID.
	ID string
	// StartedAtMs distinguishes the lives of one ID.
	StartedAtMs int64
	Service     string
	// Addr is the IP address and port.
	Addr  string
	Zone  string
	Slots int
	// Draining is true if the server is about to leave and takes no new requests.
	Draining bool
	// WarmupLeft is how long the server stayed slow when the entry was written.
	WarmupLeft time.Duration
}

// Incarnation names one life of a backend server.
type Incarnation struct {
	ID          string
	StartedAtMs int64
}

// Incarnation returns the life that the entry describes.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, StartedAtMs: s.StartedAtMs} }
