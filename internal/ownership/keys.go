package ownership

import "fmt"

// Keys is a range of keys. Both ends belong to it.
type Keys struct {
	First int
	Last  int
}

// Count returns the number of keys.
func (k Keys) Count() int { return k.Last - k.First + 1 }

// Contains reports whether a key is in the range.
func (k Keys) Contains(key int) bool { return key >= k.First && key <= k.Last }

// Overlaps reports whether the ranges share a key.
func (k Keys) Overlaps(other Keys) bool { return k.First <= other.Last && other.First <= k.Last }

// String returns the range in the form first-last.
func (k Keys) String() string { return fmt.Sprintf("%d-%d", k.First, k.Last) }
