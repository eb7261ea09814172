package ownership

import (
	"context"
	"time"
)

// OrderSender sends orders (grants and releases) to backend servers.
type OrderSender interface {
	// Grant grants keys to a backend server or renews its grant.
	Grant(ctx context.Context, grant Grant) (Answer, error)
	// Release withdraws keys from a backend server. It returns once no request for them is running.
	Release(ctx context.Context, release Release) (Answer, error)
}

// Answer is the answer of a backend server to an order. What it says of the server itself is valid also with an error.
type Answer struct {
	// Handover is the name of the state that the next owner of released keys can take over.
	Handover string
	// Leaving is true if the server says that it is shutting down.
	Leaving bool
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
