package ownership

import "fmt"

// Keys is a range of keys, including both ends.
type Keys struct {
	First int
	Last  int
}

// Count returns the number of keys in the range.
func (k Keys) Count() int { return k.Last - k.First + 1 }

// Contains reports whether the key is in the range.
func (k Keys) Contains(key int) bool { return key >= k.First && key <= k.Last }

// Overlaps reports whether the ranges have a key in common.
func (k Keys) Overlaps(other Keys) bool { return k.First <= other.Last && other.First <= k.Last }

// String formats the range as first-last.
func (k Keys) String() string { return fmt.Sprintf("%d-%d", k.First, k.Last) }
