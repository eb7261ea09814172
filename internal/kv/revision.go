package kv

import "fmt"

// Era numbers the histories of the store. It rises when the store comes back from an earlier copy of itself. Everything
// that was written after the copy is lost then, leases too, and the numbers of the lost changes are given out again.
type Era uint64

// Revision is the position of a change in one history of the store. The zero value precedes the first change. Numbers of
// different eras must not be compared, so revisions are ordered by Before, and operators do not apply to them.
type Revision struct {
	Era    Era
	Number int64
}

// IsZero reports whether the revision precedes the first change.
func (r Revision) IsZero() bool { return r.Number == 0 }

// Before reports whether a revision is older than another one: of an earlier era, or a lower number of the same era.
func (r Revision) Before(other Revision) bool {
	if r.Era != other.Era {
		return r.Era < other.Era
	}
	return r.Number < other.Number
}

// Latest returns the later one of two revisions.
func (r Revision) Latest(other Revision) Revision {
	if r.Before(other) {
		return other
	}
	return r
}

// String returns the era and the number.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Number) }
