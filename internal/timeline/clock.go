package timeline

import "time"

// MaxClockSkew bounds how far a peer's timestamp may be ahead of the own wall clock. A greater one is ignored, because
// one process with a wrong date would otherwise move the time line of all others.
const MaxClockSkew = time.Second

// Clock is a hybrid logical clock. It is pure and not safe for concurrent use. The zero value is ready.
type Clock struct {
	last Timestamp
}

// Next returns the timestamp of a local event or of a message that is about to be sent. It is greater than all
// earlier ones.
func (c *Clock) Next(wall time.Time) Timestamp {
	c.last = max(c.last+1, FromTime(wall))
	return c.last
}

// Observe takes the timestamp of a received message into account, so that later local events come after it. It
// returns false if the timestamp is ahead of wall by more than MaxAhead and was ignored.
func (c *Clock) Observe(remote Timestamp, wall time.Time) bool {
	if remote > FromTime(wall.Add(MaxClockSkew)) {
		return false
	}
	c.last = max(c.last, remote)
	return true
}
