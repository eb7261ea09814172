package storetest

import (
	"sync"
	"time"
)

// Clock is a store.Clock that advances only by calls of Advance.
type Clock struct {
	// mu protects the fields below.
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	deadline time.Time
	fired    chan time.Time
}

// NewClock returns a clock that starts at a fixed time.
func NewClock() *Clock {
	return &Clock{now: time.Unix(1_000_000_000, 0)}
}

// Now implements store.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After implements store.Clock. The channel receives once the clock has advanced by d.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := timer{deadline: c.now.Add(d), fired: make(chan time.Time, 1)}
	if d <= 0 {
		t.fired <- c.now
		return t.fired
	}
	c.timers = append(c.timers, t)
	return t.fired
}

// Advance moves the clock forward by d and fires the timers that have expired.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.deadline.After(c.now) {
			pending = append(pending, t)
			continue
		}
		t.fired <- c.now
	}
	c.timers = pending
}
