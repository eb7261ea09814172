package serverconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/exchange"
)

// Settings are the limits of a pool.
type Settings struct {
	// MaxIdle is the idle time after which a connection is not reused.
	MaxIdle time.Duration
	// MaxIdleAtMostOnce replaces MaxIdle, if it is shorter, for requests that must be executed at most once.
	MaxIdleAtMostOnce time.Duration
	// ResetCheckMargin is how long beyond the estimated round-trip time a new connection is checked for a reset before
	// its first request. 0 disables the check.
	ResetCheckMargin time.Duration
	// MaxResponseBodyBytes limits the body of a response.
	MaxResponseBodyBytes int64
}

// Pool is a pool of connections to one backend server. It is safe for concurrent use.
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

// NewPool returns an empty pool.
func NewPool(addr string, dialer *net.Dialer, headers exchange.Headers, settings Settings) *Pool {
	return &Pool{addr: addr, dialer: dialer, headers: headers, settings: settings}
}

// Do sends a request and returns the complete response. It retries on another connection only if a reused connection
// failed before any byte of the request was sent.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	encoded, err := request.encode()
	if err != nil {
		return nil, errors.WithSecondaryError(ErrNotSent, err)
	}
	for {
		c, err := p.acquire(ctx, request)
		if err != nil {
			return nil, err
		}
		response, err := c.exchange(ctx, request, encoded)
		if err == nil {
			p.release(c)
			return response, nil
		}
		c.close()
		if errors.Is(err, ErrNotSent) && c.reused && ctx.Err() == nil {
			continue
		}
		return nil, err
	}
}

// acquire returns an idle connection, or a new one if there is none.
func (p *Pool) acquire(ctx context.Context, request *Request) (*conn, error) {
	for {
		c := p.popIdle(request)
		if c == nil {
			return p.dial(ctx)
		}
		if c.idle() {
			c.reused = true
			return c, nil
		}
		c.close()
	}
}

// popIdle removes and returns the most recently used idle connection that the request may use. It returns nil if there is
// none, or if that connection has been idle for too long.
func (p *Pool) popIdle(request *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if slices.Contains(request.Used, c.id) {
			continue
		}
		if time.Since(c.lastUsed) > p.maxIdle(c, request) {
			return nil
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		return c
	}
	return nil
}

// maxIdle returns the idle time after which a connection is not used for a request.
func (p *Pool) maxIdle(c *conn, request *Request) time.Duration {
	limit := min(p.settings.MaxIdle, c.keepAlive)
	if request.AtMostOnce {
		limit = min(limit, p.settings.MaxIdleAtMostOnce)
	}
	return limit
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
	if !staysOpen(tcp, time.Since(started), p.settings.ResetCheckMargin) {
		// The backend server has closed it already.
		_ = tcp.Close()
		return nil, errors.Wrap(ErrNotSent, "backend server reset the new connection")
	}
	c, err := newConn(tcp, p.headers, p.settings)
	if err != nil {
		return nil, errors.WithSecondaryError(ErrNotSent, err)
	}
	return c, nil
}

// release returns a connection to the pool, or closes it if it cannot be reused.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.draining {
		return
	}
	if p.closed || !c.reusable {
		c.close()
		return
	}
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
}

// CloseExpired closes connections whose idle time exceeds the limit.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.lastUsed) > min(p.settings.MaxIdle, c.keepAlive) {
			c.close()
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections. A connection in use is closed when its request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}
