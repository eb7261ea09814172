package standin

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// Server is a stand-in backend server.
type Server struct {
	options Options
	http    *http.Server
	memory  *memoryListener
	idle    idleConns
	started time.Time

	mu       sync.Mutex // mu protects the fields below
	random   *rand.Rand
	switches FaultConfig
	// thawed is closed by Thaw. It is nil while the server is not frozen.
	thawed       chan struct{}
	grants       grantTable
	inProgress   int
	history      []loadSample
	counters     Counters
	runs         map[string]int
	identityRuns map[string]int
	listener     net.Listener
}

// New returns a server that Dial and Listen make reachable.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options:      o,
		memory:       newMemoryListener(),
		started:      time.Now(),
		random:       rand.New(rand.NewPCG(o.Seed, 0)),
		grants:       newGrantTable(),
		runs:         make(map[string]int),
		identityRuns: make(map[string]int),
		counters:     Counters{Refused: make(map[string]int)},
	}
	s.http = &http.Server{
		Handler:     s.handler(),
		ConnState:   s.idle.track,
		ConnContext: withConnState,
		ErrorLog:    log.New(io.Discard, "", 0), // cut connections are intended
	}
	go func() { _ = s.http.Serve(&costlyListener{Listener: s.memory, server: s}) }()
	return s
}

// Listen makes the server reachable over TCP and returns its address.
func (s *Server) Listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go func() { _ = s.http.Serve(&costlyListener{Listener: listener, server: s}) }()
	return listener.Addr().String(), nil
}

// Dial opens a connection in memory, which works on the fake time of testing/synctest.
func (s *Server) Dial(ctx context.Context) (net.Conn, error) { return s.memory.dial(ctx) }

// Client returns a client that reaches the server in memory.
func (s *Server) Client() *backend.Client {
	return backend.New(backend.Options{Address: s.options.Name, Slots: s.options.Slots, Dial: s.Dial})
}

// Close ends the server and cuts its connections.
func (s *Server) Close() {
	s.Thaw()
	_ = s.http.Close() // listeners and connections are dropped on purpose
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+backend.PathHealth, s.probe)
	mux.HandleFunc("POST "+backend.PathRenew, s.renew)
	mux.HandleFunc("POST "+backend.PathWithdraw, s.withdraw)
	requests := http.HandlerFunc(s.request)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		requests(w, r)
	})
}
