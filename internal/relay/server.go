package relay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

const (
	// sendQueueSize is the number of messages that are queued for a gateway. The connection is closed when the queue is
	// full.
	sendQueueSize = 64
	// writeTimeout bounds the time for writing one message.
	writeTimeout = time.Second
	// serverReadTimeout is how long the server waits for a report before it closes the connection.
	serverReadTimeout = 3 * time.Second
)

// Receiver handles the events of the connections to the elected gateway.
type Receiver interface {
	// Connected is called when a gateway has connected. The implementation sends the complete contents of the store to
	// the session.
	Connected(session *Session)
	// ReportReceived is called for each report.
	ReportReceived(session *Session, report *wire.RelayUp)
	// Disconnected is called when a connection has ended.
	Disconnected(session *Session)
}

// Server accepts the connections of other gateways.
type Server struct {
	receiver Receiver
	log      *logrus.Entry

	// mu protects the fields below.
	mu          sync.Mutex
	sessions    map[*Session]struct{}
	lastSession SessionID
}

// NewServer returns a server without connections.
func NewServer(receiver Receiver, log *logrus.Entry) *Server {
	return &Server{receiver: receiver, log: log, sessions: make(map[*Session]struct{})}
}

// SessionID numbers the sessions of a server, starting at 1.
type SessionID uint64

// Session is the connection to one gateway.
type Session struct {
	ID SessionID
	// Host is the name of the gateway.
	Host      string
	conn      net.Conn
	sendQueue chan []byte
	closeOnce sync.Once
}

// Send queues a message. If the queue is full, the connection is closed and the gateway follows the store itself.
func (s *Session) Send(message Message) {
	select {
	case s.sendQueue <- message:
	default:
		s.Close()
	}
}

// Message is an encoded message to other gateways.
type Message []byte

// Close ends the connection.
func (s *Session) Close() {
	s.closeOnce.Do(func() {
		// An error of Close is ignored, because the connection is no longer used.
		_ = s.conn.Close()
	})
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.WithError(err).Warning("failed to accept a gateway connection; retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serve(conn)
	}
}

const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) serve(conn net.Conn) {
	session := &Session{conn: conn, sendQueue: make(chan []byte, sendQueueSize)}
	defer session.Close()
	reader := bufio.NewReader(conn)
	first, err := receive(conn, reader)
	if err != nil {
		s.log.WithError(err).Info("no valid first message on a gateway connection; closing it")
		return
	}
	session.Host = first.Host
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go session.writeLoop(ctx)
	s.add(session)
	defer s.remove(session)
	s.receiver.Connected(session)
	defer s.receiver.Disconnected(session)
	s.receiver.ReportReceived(session, first)
	for {
		report, err := receive(conn, reader)
		if err != nil {
			s.log.WithError(err).WithField("gateway", session.Host).Info("gateway connection closed")
			return
		}
		s.receiver.ReportReceived(session, report)
	}
}

// receive reads one report.
func receive(conn net.Conn, reader *bufio.Reader) (*wire.RelayUp, error) {
	if err := conn.SetReadDeadline(time.Now().Add(serverReadTimeout)); err != nil {
		return nil, err
	}
	report := &wire.RelayUp{}
	return report, wire.ReadMessage(reader, wire.FrameRelay, report)
}

// writeLoop sends queued messages until the context is done or a write fails.
func (s *Session) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-s.sendQueue:
			if err := writeWithTimeout(s.conn, message); err != nil {
				s.Close()
				return
			}
		}
	}
}

func writeWithTimeout(conn net.Conn, message []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(message)
	return err
}

func (s *Server) add(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSession++
	session.ID = s.lastSession
	s.sessions[session] = struct{}{}
}

func (s *Server) remove(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// Broadcast queues a message for all connected gateways.
func (s *Server) Broadcast(message Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.Send(message)
	}
}

// SendTo queues a message for the gateway on a host, if it is connected.
func (s *Server) SendTo(host string, message Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		if session.Host == host {
			session.Send(message)
		}
	}
}

// Hosts returns the hosts of the connected gateways.
func (s *Server) Hosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for session := range s.sessions {
		hosts = append(hosts, session.Host)
	}
	return hosts
}

// CloseAll closes all connections, so that the other gateways follow the store themselves.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.Close()
	}
}
