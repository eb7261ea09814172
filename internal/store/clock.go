package store

import "time"

// Clock is the source of time for the in-memory store. Tests replace it by a manual clock.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time once d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of package time. Inside a testing/synctest bubble it is the fake clock of the bubble.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
