package peer

import (
	"bufio"
	"net"
	"sync"

	"github.com/hashicorp/yamux"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// readBufferBytes is enough to read a request head and a small body at once.
const readBufferBytes = 4 << 10

// Handler handles the requests, control messages and queries of other gateways.
type Handler interface {
	// HandleRequest serves one request, whose head has already been read from the stream. It returns true if the next
	// request can be read from the stream, and false if the stream must be closed.
	HandleRequest(head []byte, stream *ServerStream) bool
	// HandleControl handles one control message. It must not block, and it may retain payload.
	HandleControl(payload []byte)
	// HandleQuery returns the response to a query.
	HandleQuery(payload []byte) []byte
}

// ServerStream is a request stream that another gateway opened.
type ServerStream struct {
	// Reader reads the frames that follow the request head.
	Reader *bufio.Reader
	// Stream is the underlying stream, to which the response is written.
	Stream *yamux.Stream
}

// Server accepts sessions from other gateways.
type Server struct {
	handler Handler
	serving sync.WaitGroup

	// mu protects the fields below.
	mu       sync.Mutex
	closed   bool
	sessions map[*yamux.Session]struct{}
}

// NewServer returns a server that passes what it receives to handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, sessions: make(map[*yamux.Session]struct{})}
}

// Serve accepts sessions until listener fails or is closed, and returns its error.
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
		if !s.addSession(session) {
			_ = session.Close()
			continue
		}
		go s.serveSession(session)
	}
}

// Close closes all sessions and waits until their streams have been served. It does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// addSession registers a session. It returns false if the server is closed.
func (s *Server) addSession(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	s.serving.Add(1)
	return true
}

func (s *Server) removeSession(session *yamux.Session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Server) serveSession(session *yamux.Session) {
	defer s.serving.Done()
	defer s.removeSession(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.serving.Add(1)
		go s.serveStream(stream)
	}
}

func (s *Server) serveStream(conn *yamux.Stream) {
	defer s.serving.Done()
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
			// After a failed write the sender gets no response, which it handles as a failed query.
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
