package serverconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/exchange"
)

// Settings are the limits of a pool.
type Settings struct {
	// MaxIdle is how long a connection may be idle before it is not used again.
	MaxIdle time.Duration
	// MaxIdleAtMostOnce is the same for requests that may run once at most.
	MaxIdleAtMostOnce time.Duration
	// ResetWatchMargin is how much longer than a round trip a new connection is watched for a reset before its first
	// request; 0 for not at all.
	ResetWatchMargin time.Duration
	// MaxResponseBodyBytes bounds an answer's body.
	MaxResponseBodyBytes int64
}

// Pool holds the connections to one backend server. It is safe for concurrent use.
type Pool struct {
	addr     string
	dialer   *net.Dialer
	headers  exchange.Headers
	settings Settings

	// mu protects the fields below.
	mu     sync.Mutex
	idle   []*conn
	closed bool
	opened int
}

// NewPool returns a pool without connections.
func NewPool(addr string, dialer *net.Dialer, headers exchange.Headers, settings Settings) *Pool {
	return &Pool{addr: addr, dialer: dialer, headers: headers, settings: settings}
}

// Do sends a request and returns the complete answer.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	encoded, err := request.encode()
	if err != nil {
		return nil, errors.WithSecondaryError(ErrNotSent, err)
	}
	for {
		c, err := p.take(ctx, request.AtMostOnce)
		if err != nil {
			return nil, err
		}
		answer, err := c.exchange(ctx, request, encoded)
		if err == nil {
			p.put(c)
			return answer, nil
		}
		c.close()
		if errors.Is(err, ErrNotSent) && c.reused && ctx.Err() == nil {
			continue
		}
		return nil, err
	}
}

// take returns an idle connection, or a new one.
func (p *Pool) take(ctx context.Context, once bool) (*conn, error) {
	for {
		c := p.pop(once)
		if c == nil {
			return p.dial(ctx)
		}
		if c.quiet() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
}

// pop removes the connection that was used last, if it is fresh enough.
func (p *Pool) pop(once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	limit := min(p.settings.MaxIdle, c.keepAlive)
	if once {
		limit = min(limit, p.settings.MaxIdleAtMostOnce)
	}
	if time.Since(c.usedAt) > limit {
		return nil
	}
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	started := time.Now()
	netConn, err := p.dialer.DialContext(ctx, "tcp4", p.addr)
	if err != nil {
		return nil, errors.WithSecondaryError(ErrNotSent, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	tcp := netConn.(*net.TCPConn)
	if !accepted(tcp, time.Since(started), p.settings.ResetWatchMargin) {
		// The backend server has ended it already.
		_ = tcp.Close()
		return nil, errors.Wrap(ErrNotSent, "new connection was reset")
	}
	return newConn(tcp, p.headers, p.settings), nil
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.finishing {
		return
	}
	if p.closed || !c.reusable {
		c.close()
		return
	}
	c.usedAt = time.Now()
	p.idle = append(p.idle, c)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.usedAt) > min(p.settings.MaxIdle, c.keepAlive) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes idle connections. Connections in use are closed when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
