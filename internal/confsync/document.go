package confsync

import "github.com/cespare/xxhash/v2"

// Version identifies one accepted configuration.
type Version struct {
	// Revision is 0 if there is no configuration.
	Revision uint64
	// ID identifies the accept.
	ID string
}

// conflicts says whether both are different accepts with the same revision.
func (v Version) conflicts(other Version) bool {
	return v.Revision == other.Revision && v.Revision != 0 && v.ID != other.ID
}

// Document is one accepted configuration. It is immutable.
type Document struct {
	Version
	// Bytes is the encoded configuration.
	Bytes []byte
}

// Tag stands for an ID in State. A holder exchanges about 150 heartbeats a second, so a whole ID in each of them would
// use most of the 9 KB/s of control traffic.
func (v Version) Tag() uint32 {
	return uint32(xxhash.Sum64String(v.ID))
}

// State is what a gateway tells its peers in heartbeats and exchanges.
type State struct {
	// Revision is the greatest that the gateway holds. It may not be in force yet.
	Revision uint64
	// Tag is the tag of the version with that revision.
	Tag uint32
	// Disputed is true if another accept with the same revision is known to be in force on some gateway.
	Disputed bool
}
