package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/bytebudget"
	"github.com/sapphireplank/sapphireplank/internal/netdial"
)

// HandleFunc returns the response to one request. The context is canceled when the client disconnects.
type HandleFunc func(ctx context.Context, request *request) *response

// Server accepts client connections.
type Server struct {
	handle   HandleFunc
	limits   func() connLimits
	timeouts netdial.Settings
	log      *logrus.Entry
	// memory bounds the bodies in flight. Of the body of a request, heldBodyBytes are held before it is forwarded.
	memory        *bytebudget.Budget
	heldBodyBytes int64
	// writeStall is how long a client may take nothing of a response.
	writeStall time.Duration

	// finishing is closed shortly before the process ends.
	finishing  chan struct{}
	finishOnce sync.Once
	draining   atomic.Bool
	rejecting  atomic.Bool
	// inFlight counts the requests that are not answered yet.
	inFlight atomic.Int64

	// mu protects the fields below.
	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// connLimits are the limits on what a client may send.
type connLimits struct {
	maxHeaderBytes int
	maxBodyBytes   int64
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// acceptRetryDelay is the delay after a failed accept, for example when the process has run out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.WithError(err).Warning("accept failed; retrying after a delay")
			time.Sleep(acceptRetryDelay)
			continue
		}
		tcp := accepted.(*net.TCPConn)
		if err := s.timeouts.SetUserTimeout(tcp); err != nil {
			s.log.WithError(err).Warning("cannot set TCP_USER_TIMEOUT on a client connection")
		}
		c := newClientConn(s, tcp)
		// Counted before the next accept, so that a stop that has closed the listener misses no connection.
		s.addConn(c)
		go c.serve()
	}
}

func (s *Server) addConn(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) removeConn(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes the server close each connection after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// RejectRequests makes the server reject all further requests without executing them, because they could not complete
// before the process ends.
func (s *Server) RejectRequests() { s.rejecting.Store(true) }

// respond handles a request, or rejects it if the process is about to end.
func (s *Server) respond(ctx context.Context, r *request) *response {
	if s.rejecting.Load() {
		return notExecutedResponse("gateway stops; send the request again", stoppingRetryAfter)
	}
	return s.handle(ctx, r)
}

// stoppingRetryAfter is the Retry-After time given to requests that are rejected because the process is about to end.
// The retry then reaches another gateway.
const stoppingRetryAfter = 20 * time.Millisecond

// CloseIdle closes the connections that have no open request and on which none arrives.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// AbortReads rejects the requests that have not arrived completely.
func (s *Server) AbortReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abortRead()
	}
}

// InFlight returns the number of requests that are not answered yet.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
