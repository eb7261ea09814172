package timeline

import "time"

// MaxClockSkew limits how far a peer's timestamp may be ahead of the local wall clock. Timestamps beyond it are ignored,
// because a single process with a wrong date would otherwise advance the clocks of all others.
const MaxClockSkew = time.Second

// Clock is a hybrid logical clock. It reads no time source itself and is not safe for concurrent use. The zero value is
// ready to use.
type Clock struct {
	last Timestamp
}

// Next returns the timestamp for a local event or for a message about to be sent. It is greater than all timestamps
// returned or observed before.
func (c *Clock) Next(wall time.Time) Timestamp {
	c.last = max(c.last+1, FromTime(wall))
	return c.last
}

// Observe advances the clock to the timestamp of a received message, so that later local events are ordered after it.
// It ignores the timestamp and returns false if it is ahead of wall by more than MaxClockSkew.
func (c *Clock) Observe(remote Timestamp, wall time.Time) bool {
	if remote > FromTime(wall.Add(MaxClockSkew)) {
		return false
	}
	c.last = max(c.last, remote)
	return true
}
