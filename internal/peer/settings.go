package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// dialTimeout bounds the time to establish a session. The latency between zones is at most a few milliseconds,
	// so a host that does not respond within this time is treated as failed.
	dialTimeout = 500 * time.Millisecond
	// redialBackoff is the time after a failed dial in which requests fail without another dial, so that they do not
	// dial a failed host repeatedly.
	redialBackoff = 250 * time.Millisecond
	// writeTimeout closes a session whose peer no longer reads. Leases expire after 600 ms, so a control message that
	// waited longer than this would be of no use.
	writeTimeout = time.Second
	// keepAliveInterval is the interval of the probes that detect half-open connections. Until a network partition is
	// detected, requests sent over the connection end with an unknown outcome.
	keepAliveInterval = time.Second
	// acceptBacklog bounds the streams that a peer has opened but this gateway has not accepted yet.
	acceptBacklog = 4096
	// maxIdleStreams bounds the idle streams that are kept for reuse per session.
	maxIdleStreams = 128
	// streamWindowBytes is the receive window, which bounds the unread bytes of a stream.
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
