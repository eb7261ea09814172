package peer

import "github.com/cockroachdb/errors"

// Errors of sessions and of the pool.
var (
	// ErrConnect means that no session or stream could be opened, so that nothing was sent.
	ErrConnect = errors.New("cannot open a session to the gateway; try another gateway of the cell")
	// ErrQueueFull means that control messages to a gateway are enqueued faster than they are sent.
	ErrQueueFull = errors.New("control queue to the gateway is full; message dropped, repeated with the next heartbeat")
	// ErrClosed means that the pool has been closed.
	ErrClosed = errors.New("session pool is closed; the gateway is stopping")
)
