package backend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
)

const (
	// spareConnections is the number of connections, in addition to one per slot, for grant calls and health
	// probes.
	spareConnections = 2
	// dialTimeout is far above the 1 ms that a backend server needs to accept a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
	// maxResponseHeaderBytes limits the size of response headers. It equals the limit for request headers.
	maxResponseHeaderBytes = 64 << 10
	// maxConnAttempts limits how often a request is attempted if the server has closed the idle connections
	// and the attempts fail before a byte is written.
	maxConnAttempts = 3
)

// Options configures a Client.
type Options struct {
	// Address is the IP address and port of the backend server.
	Address string
	// Slots is the number of requests that the backend server executes concurrently.
	Slots int
	// Dial opens a connection. The default is a TCP connection to Address.
	Dial func(ctx context.Context) (net.Conn, error)
}

// Client is an HTTP/1.1 client of one backend server. It never writes a request twice.
type Client struct {
	address   string
	transport *httpcheck.Transport
	// hideIdempotencyKeys and abortReplays enable the protections against automatic retries by net/http. Only
	// tests disable them.
	hideIdempotencyKeys bool
	abortReplays        bool
}

// New returns a client of the backend server at options.Address.
func New(options Options) *Client {
	limit := options.Slots + spareConnections
	client := &Client{address: options.Address, hideIdempotencyKeys: true, abortReplays: true}
	client.transport = httpcheck.Wrap(&http.Transport{
		DialContext:            trackedDial(options),
		MaxConnsPerHost:        limit,
		MaxIdleConns:           limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
		Protocols:              http1Protocols(),
	})
	return client
}

// Close closes idle connections. Requests in progress are not interrupted.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func http1Protocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

func trackedDial(options Options) func(context.Context, string, string) (net.Conn, error) {
	dial := options.Dial
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = func(ctx context.Context) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", options.Address)
		}
	}
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		conn, err := dial(ctx)
		if err != nil {
			return nil, wrapDialError(err)
		}
		return &writeTrackingConn{Conn: httpcheck.NewConn(conn)}, nil
	}
}

// wrapDialError ensures that isDialError recognizes an error of any dialer, except for cancellation and
// time-out of the context.
func wrapDialError(err error) error {
	if isDialError(err) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: err}
}
