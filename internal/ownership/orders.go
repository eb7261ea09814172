package ownership

import (
	"context"
	"time"
)

// OrderSender sends orders to backend servers.
type OrderSender interface {
	// Grant gives keys to a backend server, or renews them.
	Grant(ctx context.Context, grant Grant) error
	// Release takes keys back. It returns when no request on them runs any more, with the name of the state
	// that the next owner can take over.
	Release(ctx context.Context, release Release) (handover string, err error)
}

// Grant gives a range of keys to a backend server for a time.
type Grant struct {
	Server Holder
	Keys   Keys
	Token  Token
	// Duration is how long the grant lasts, from its arrival.
	Duration time.Duration
	// Handover names the state of the last owner, if it released the keys.
	Handover string
}

// Release takes a range of keys back from a backend server.
type Release struct {
	Server Holder
	Keys   Keys
	Token  Token
}
