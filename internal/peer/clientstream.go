package peer

import (
	"bufio"
	"time"

	"github.com/hashicorp/yamux"
)

// ClientStream is a stream to another gateway that is reused for one request after another.
type ClientStream struct {
	Stream *yamux.Stream
	Reader *bufio.Reader

	link    *link
	session *yamux.Session
}

// Release returns the stream to the pool for reuse. The response must have been read completely.
func (c *ClientStream) Release() {
	if c.Stream.SetDeadline(time.Time{}) != nil || !c.link.putIdle(c) {
		c.Discard()
	}
}

// Discard closes the stream. The receiving gateway treats this as the cancellation of a request in progress.
func (c *ClientStream) Discard() { _ = c.Stream.Close() }
