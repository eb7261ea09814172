package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// DialFunc dials the peer address of a gateway.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is a DialFunc that uses TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps at most one outgoing session per address, which it dials on first use and again after a failure.
type Pool struct {
	dial DialFunc

	// mu protects the fields below.
	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

// NewPool returns an empty pool.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, links: make(map[string]*link)}
}

// OpenStream opens a new stream to the gateway at address. If it returns an error, nothing has been sent.
func (p *Pool) OpenStream(ctx context.Context, address string) (*yamux.Stream, error) {
	l, err := p.link(address)
	if err != nil {
		return nil, err
	}
	return l.open(ctx)
}

// AcquireStream returns a stream for one request to the gateway at address. It reuses an idle stream if there is one.
// If it returns an error, nothing has been sent.
func (p *Pool) AcquireStream(ctx context.Context, address string) (*ClientStream, error) {
	l, err := p.link(address)
	if err != nil {
		return nil, err
	}
	return l.acquire(ctx)
}

// Send enqueues a control message for the gateway at address. It never blocks.
func (p *Pool) Send(address string, payload []byte) error {
	l, err := p.link(address)
	if err != nil {
		return err
	}
	return l.enqueueControl(payload)
}

// Close closes all sessions. Later calls return ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	links := p.links
	p.links = make(map[string]*link)
	p.closed = true
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// CloseSession closes the session to address, if there is one. A later call dials again.
func (p *Pool) CloseSession(address string) {
	p.mu.Lock()
	l := p.links[address]
	delete(p.links, address)
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

func (p *Pool) link(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	l, ok := p.links[address]
	if !ok {
		l = newLink(address, p.dial)
		p.links[address] = l
	}
	return l, nil
}

// dialSession dials address and opens a session on the connection, within dialTimeout.
func dialSession(ctx context.Context, dial DialFunc, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrConnect)
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Mark(errors.Wrapf(err, "open session with %s", address), ErrConnect)
	}
	return session, nil
}

// backoff holds the error of the last dial and the time until which it is returned without another dial.
type backoff struct {
	until time.Time
	err   error
}

func (b backoff) active(now time.Time) bool { return b.err != nil && now.Before(b.until) }
