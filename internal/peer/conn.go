package peer

import (
	"bufio"
	"time"

	"github.com/hashicorp/yamux"
)

// ClientStream is a stream to another gateway that carries one request after the other.
type ClientStream struct {
	Stream *yamux.Stream
	Reader *bufio.Reader

	link    *link
	session *yamux.Session
}

// Release gives the stream back for the next request. The answer must have been read to its end.
func (c *ClientStream) Release() {
	if c.Stream.SetDeadline(time.Time{}) != nil || !c.link.keep(c) {
		c.Discard()
	}
}

// Discard closes the stream. The far side takes that as the cancellation of a request in progress.
func (c *ClientStream) Discard() { _ = c.Stream.Close() }
