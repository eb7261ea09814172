package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// dialTimeout bounds the set-up of a session. Zones are at most a few milliseconds apart; a host that
	// does not answer within this time is treated as lost.
	dialTimeout = 500 * time.Millisecond
	// redialBackoff keeps requests from dialing a lost host again and again.
	redialBackoff = 250 * time.Millisecond
	// writeTimeout closes a session whose peer no longer reads. Leases end after 600 ms, so that a longer
	// wait is of no use to control messages.
	writeTimeout = time.Second
	// keepAliveInterval detects half-open connections. Until a cut is detected, requests into it end as unknown.
	keepAliveInterval = time.Second
	// acceptBacklog bounds the streams that a peer has opened and this gateway has not accepted yet.
	acceptBacklog = 4096
	// maxIdleStreams bounds the streams of one session that wait for the next request.
	maxIdleStreams = 128
	// streamWindowBytes bounds the unread bytes of one stream.
	streamWindowBytes = 256 << 10
)

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}
