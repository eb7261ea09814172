package ownership

import (
	"context"
	"time"
)

// OrderSender sends orders (grants and releases) to backend servers.
type OrderSender interface {
	// Grant grants keys to a backend server or renews its grant.
	Grant(ctx context.Context, grant Grant) error
	// Release withdraws keys from a backend server. It returns once no request for them is running, with the name of
	// the state that the next owner can take over.
	Release(ctx context.Context, release Release) (handover string, err error)
}

// Grant allows a backend server to serve a range of keys for a limited time.
type Grant struct {
	Server Holder
	Keys   Keys
	Token  Token
	// Duration is the duration of the grant, counted from its arrival.
	Duration time.Duration
	// Handover names the state left by the previous owner, if it released the keys.
	Handover string
	// ConnectBefore is the end of the confirmed term of the elected gateway. The grant must not be sent over a connection
	// made later: a server that has restarted since then has not seen the fencing tokens of the next elected gateway.
	ConnectBefore time.Duration
}

// Release withdraws a range of keys from a backend server.
type Release struct {
	Server Holder
	Keys   Keys
	Token  Token
}
