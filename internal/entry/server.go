package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/netdial"
)

// HandleFunc answers one request. leave is done when the caller has left.
type HandleFunc func(leave context.Context, request *request) *answer

// Server accepts the connections of callers.
type Server struct {
	handle HandleFunc
	limits func() connLimits
	silent netdial.Settings
	log    *logrus.Entry

	draining atomic.Bool
	refusing atomic.Bool
	// running counts requests that are not answered yet.
	running atomic.Int64

	// mu protects the fields below.
	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// connLimits bound what a caller may send.
type connLimits struct {
	maxHeaderBytes int
	maxBodyBytes   int64
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// acceptPause is the pause after a failed accept, for example without free descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.WithError(err).Warning("connection not accepted; accepting again after a pause")
			time.Sleep(acceptPause)
			continue
		}
		tcp := accepted.(*net.TCPConn)
		if err := s.silent.SetUserTimeout(tcp); err != nil {
			s.log.WithError(err).Warning("silence of a connection is not limited")
		}
		go newClientConn(s, tcp).serve()
	}
}

func (s *Server) add(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain lets each connection end after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// RejectRequests answers requests from now on without running them: they could not end before the process does.
func (s *Server) RejectRequests() { s.refusing.Store(true) }

// answer handles a request, unless the process is about to end.
func (s *Server) answer(leave context.Context, r *request) *answer {
	if s.refusing.Load() {
		return notRun("gateway stops; send the request again", stoppingReturn)
	}
	return s.handle(leave, r)
}

// stoppingReturn is when a caller should come back that met a process about to end. Another gateway gets it then.
const stoppingReturn = 20 * time.Millisecond

// CloseIdle closes the connections without a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// InFlight returns the number of requests that are not answered yet.
func (s *Server) InFlight() int { return int(s.running.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
