package peer

import (
	"bufio"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// readBufferBytes holds a request head and a small body in one read.
const readBufferBytes = 4 << 10

// Handler takes what other gateways send.
type Handler interface {
	// HandleRequest serves one request, whose head has been read. It returns true once the next request can be
	// read from the stream, and false if the stream must be closed.
	HandleRequest(head []byte, stream *ServerStream) bool
	// HandleControl takes one control payload. It must not block and may keep the payload.
	HandleControl(payload []byte)
	// HandleQuery answers one query of another gateway.
	HandleQuery(payload []byte) []byte
}

// ServerStream is an accepted request stream.
type ServerStream struct {
	// Reader reads what follows the head.
	Reader *bufio.Reader
	// Stream writes the answer.
	Stream *yamux.Stream
}

// Server accepts sessions of other gateways.
type Server struct {
	handler Handler
	wg      sync.WaitGroup

	// mu protects the fields below.
	mu       sync.Mutex
	closed   bool
	sessions map[*yamux.Session]struct{}
}

// NewServer returns a server that passes streams to handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, sessions: make(map[*yamux.Session]struct{})}
}

// Serve accepts sessions until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		session, err := yamux.Server(conn, yamuxConfig())
		if err != nil {
			_ = conn.Close()
			continue
		}
		if !s.add(session) {
			_ = session.Close()
			continue
		}
		go s.serveSession(session)
	}
}

// Close closes all sessions and waits for their streams to end.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) add(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) remove(session *yamux.Session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Server) serveSession(session *yamux.Session) {
	defer s.wg.Done()
	defer s.remove(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go s.serveStream(stream)
	}
}

func (s *Server) serveStream(conn *yamux.Stream) {
	defer s.wg.Done()
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	stream := &ServerStream{Reader: reader, Stream: conn}
	for {
		frameType, payload, err := wire.ReadFrame(reader, nil)
		if err != nil {
			return
		}
		switch frameType {
		case wire.FrameControl:
			s.handler.HandleControl(payload)
		case wire.FrameQuery:
			// A failed write leaves the sender without an answer, which it treats as such.
			_ = wire.WriteFrame(conn, wire.FrameQuery, s.handler.HandleQuery(payload))
			return
		case wire.FrameRequestHead:
			if !s.handler.HandleRequest(payload, stream) {
				return
			}
		default:
			return
		}
	}
}
