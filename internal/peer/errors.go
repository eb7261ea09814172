package peer

import "github.com/cockroachdb/errors"

// Errors of sessions.
var (
	// ErrConnect means that no session could be set up, so nothing was sent.
	ErrConnect = errors.New("no session to the gateway; try another gateway of the cell")
	// ErrQueueFull means that control messages to a gateway are produced faster than they are sent.
	ErrQueueFull = errors.New("control queue to the gateway is full; the message is dropped and repeated with the next heartbeat")
	// ErrClosed means that the pool has been closed.
	ErrClosed = errors.New("session pool is closed; the gateway is stopping")
)
