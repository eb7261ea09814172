package store

import "time"

// Clock gives the stand-in its time.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of the process. In a testing/synctest bubble it is the clock of the bubble.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns time.After.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
