package backend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// controlConnections is the number of connections beyond the slots, for grants and probes.
	controlConnections = 2
	// dialTimeout is far above the 1 ms that a backend server spends on a new connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes connections that were not used for this long.
	idleTimeout = 90 * time.Second
	// maxResponseHeaderBytes equals the limit for request headers.
	maxResponseHeaderBytes = 64 << 10
	// maxStaleConnections bounds the attempts of one request that fail before a byte is written, because the
	// server had closed idle connections.
	maxStaleConnections = 3
)

// Options are the settings of a Client.
type Options struct {
	// Address is the IP address and port of the backend server.
	Address string
	// Slots is the number of requests that the backend server executes at a time.
	Slots int
	// Dial opens a connection. Default: TCP to Address.
	Dial func(ctx context.Context) (net.Conn, error)
}

// Client talks to one backend server. It never writes a request twice.
type Client struct {
	address   string
	transport *http.Transport
	// hideKeys and abortReplays are measures against replays by net/http. Tests switch them off.
	hideKeys     bool
	abortReplays bool
}

// New returns a client of the backend server that o describes.
func New(o Options) *Client {
	limit := o.Slots + controlConnections
	client := &Client{address: o.Address, hideKeys: true, abortReplays: true}
	client.transport = &http.Transport{
		DialContext:            guardedDial(o),
		MaxConnsPerHost:        limit,
		MaxIdleConns:           limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		Protocols:              onlyHTTP1(),
	}
	return client
}

// Close closes idle connections. Requests in progress go on.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func onlyHTTP1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

func guardedDial(o Options) func(context.Context, string, string) (net.Conn, error) {
	dial := o.Dial
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = func(ctx context.Context) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", o.Address)
		}
	}
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		conn, err := dial(ctx)
		if err != nil {
			return nil, asDialError(err)
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// asDialError marks err as a failure to connect, also if a custom dialer returned it.
func asDialError(err error) error {
	if isDialError(err) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: err}
}
