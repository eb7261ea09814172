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

// Server is a simulated backend server.
type Server struct {
	options Options
	http    *http.Server
	memory  *memoryListener
	idle    idleConns
	started time.Time

	mu     sync.Mutex // mu protects the fields below
	random *rand.Rand
	faults FaultConfig
	// thawed is closed when the server is thawed. It is nil while the server is not frozen.
	thawed      chan struct{}
	grants      grantTable
	inProgress  int
	loadHistory []loadSample
	counters    Counters
	// executions counts by request ID, identityExecutions by subscriber and request identity.
	executions         map[string]int
	identityExecutions map[string]int
	listener           net.Listener
}

// New starts a server. It accepts in-memory connections, and TCP connections once it listens.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options:            o,
		memory:             newMemoryListener(),
		started:            time.Now(),
		random:             rand.New(rand.NewPCG(o.Seed, 0)),
		grants:             newGrantTable(),
		executions:         make(map[string]int),
		identityExecutions: make(map[string]int),
		counters:           Counters{Refused: make(map[string]int)},
	}
	s.http = &http.Server{
		Handler:     s.handler(),
		ConnState:   s.idle.track,
		ConnContext: withConnState,
		ErrorLog:    log.New(io.Discard, "", 0), // errors of dropped connections are expected
	}
	go func() { _ = s.http.Serve(&slowListener{Listener: s.memory, server: s}) }()
	return s
}

// Listen accepts TCP connections on an address and returns the address with the actual port.
func (s *Server) Listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go func() { _ = s.http.Serve(&slowListener{Listener: listener, server: s}) }()
	return listener.Addr().String(), nil
}

// Dial opens an in-memory connection. Unlike TCP, it works with the fake clock of testing/synctest.
func (s *Server) Dial(ctx context.Context) (net.Conn, error) { return s.memory.dial(ctx) }

// Client returns a client that uses in-memory connections to the server.
func (s *Server) Client() *backend.Client {
	return backend.New(backend.Options{Address: s.options.Name, Slots: s.options.Slots, Dial: s.Dial})
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.Thaw()
	_ = s.http.Close() // an error has no consequence
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+backend.PathHealth, s.handleProbe)
	mux.HandleFunc("POST "+backend.PathRenew, s.handleRenew)
	mux.HandleFunc("POST "+backend.PathWithdraw, s.handleWithdraw)
	requests := http.HandlerFunc(s.handleRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		requests(w, r)
	})
}
