package storetest

import (
	"sync"
	"time"
)

// Clock is a store.Clock that moves only by Advance.
type Clock struct {
	// mu protects the fields below.
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	at   time.Time
	fire chan time.Time
}

// NewClock returns a clock that stands at a fixed time.
func NewClock() *Clock {
	return &Clock{now: time.Unix(1_000_000_000, 0)}
}

// Now returns the time of the clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After returns a channel that receives once the clock has advanced by d.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := timer{at: c.now.Add(d), fire: make(chan time.Time, 1)}
	if d <= 0 {
		t.fire <- c.now
		return t.fire
	}
	c.timers = append(c.timers, t)
	return t.fire
}

// Advance moves the clock forward and fires the timers that are due.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	rest := c.timers[:0]
	for _, t := range c.timers {
		if t.at.After(c.now) {
			rest = append(rest, t)
			continue
		}
		t.fire <- c.now
	}
	c.timers = rest
}
