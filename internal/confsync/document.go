package confsync

import "github.com/cespare/xxhash/v2"

// Version identifies an accepted configuration.
type Version struct {
	// Revision is 0 if there is no configuration.
	Revision uint64
	// ID distinguishes accept operations that used the same revision.
	ID string
}

// conflictsWith reports whether both versions have the same revision but come from different accept operations.
func (v Version) conflictsWith(other Version) bool {
	return v.Revision == other.Revision && v.Revision != 0 && v.ID != other.ID
}

// Document is an accepted configuration. It is immutable.
type Document struct {
	Version
	// Bytes is the encoded configuration.
	Bytes []byte
}

// Tag returns a short hash that represents the ID in State. A holder exchanges about 150 heartbeats per second, so the
// full ID in each of them would use most of the 9 KB/s of control traffic.
func (v Version) Tag() uint32 {
	return uint32(xxhash.Sum64String(v.ID))
}

// State summarizes the configuration of a gateway. Heartbeats and exchanges carry it to peers.
type State struct {
	// Revision is the greatest revision that the gateway holds. It may not be in force yet.
	Revision uint64
	// Tag is the tag of the version that the gateway holds.
	Tag uint32
	// Disputed is true if another accepted document with the same revision is known to exist on some gateway.
	Disputed bool
}
