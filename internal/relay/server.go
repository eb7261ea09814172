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
	// outgoingMessages is the room for messages to a gateway that does not read. Its connection ends when it is full.
	outgoingMessages = 64
	// messageTimeout bounds the time in which a gateway takes a message.
	messageTimeout = time.Second
	// maxSilence is how long a gateway may be silent before its connection is given up.
	maxSilence = 3 * time.Second
)

// Receiver takes what happens on the connections of the elected gateway.
type Receiver interface {
	// Connected is told of a gateway that has connected. It sends everything that the store holds to the session.
	Connected(session *Session)
	// ReportReceived is told of each message.
	ReportReceived(host string, up *wire.RelayUp)
	// Disconnected is told of the end of a connection.
	Disconnected(session *Session)
}

// Server accepts the connections of other gateways.
type Server struct {
	receiver Receiver
	log      *logrus.Entry

	// mu protects the fields below.
	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// NewServer returns a server without connections.
func NewServer(receiver Receiver, log *logrus.Entry) *Server {
	return &Server{receiver: receiver, log: log, sessions: make(map[*Session]struct{})}
}

// Session is the connection of one gateway.
type Session struct {
	// Host is the name of the gateway.
	Host     string
	conn     net.Conn
	outgoing chan []byte
	once     sync.Once
}

// Send queues a message. A gateway that does not read loses its connection and follows the store itself.
func (s *Session) Send(message Message) {
	select {
	case s.outgoing <- message:
	default:
		s.Close()
	}
}

// Message is an encoded message to other gateways.
type Message []byte

// Encode encodes a message once for all sessions that get it.
func Encode(down *wire.RelayDown) (Message, error) {
	return wire.AppendMessage(nil, wire.FrameRelay, down)
}

// Close ends the connection.
func (s *Session) Close() {
	s.once.Do(func() {
		// The other side notices, or has gone.
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
			s.log.WithError(err).Warning("connection of a gateway not accepted; accepting again after a pause")
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(conn)
	}
}

const acceptPause = 50 * time.Millisecond

func (s *Server) serve(conn net.Conn) {
	session := &Session{conn: conn, outgoing: make(chan []byte, outgoingMessages)}
	defer session.Close()
	reader := bufio.NewReader(conn)
	hello, err := receive(conn, reader)
	if err != nil {
		s.log.WithError(err).Info("gateway did not say its name")
		return
	}
	session.Host = hello.Host
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go session.write(ctx)
	s.add(session)
	defer s.remove(session)
	s.receiver.Connected(session)
	defer s.receiver.Disconnected(session)
	s.receiver.ReportReceived(session.Host, hello)
	for {
		up, err := receive(conn, reader)
		if err != nil {
			s.log.WithError(err).WithField("gateway", session.Host).Info("connection of a gateway ended")
			return
		}
		s.receiver.ReportReceived(session.Host, up)
	}
}

// receive reads one message.
func receive(conn net.Conn, reader *bufio.Reader) (*wire.RelayUp, error) {
	if err := conn.SetReadDeadline(time.Now().Add(maxSilence)); err != nil {
		return nil, err
	}
	up := &wire.RelayUp{}
	return up, wire.ReadMessage(reader, wire.FrameRelay, up)
}

// write sends queued messages.
func (s *Session) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-s.outgoing:
			if err := send(s.conn, message); err != nil {
				s.Close()
				return
			}
		}
	}
}

func send(conn net.Conn, message []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(message)
	return err
}

func (s *Server) add(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
}

func (s *Server) remove(session *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// Broadcast queues a message for all gateways.
func (s *Server) Broadcast(message Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.Send(message)
	}
}

// Hosts returns the hosts whose gateways are connected.
func (s *Server) Hosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for session := range s.sessions {
		hosts = append(hosts, session.Host)
	}
	return hosts
}

// CloseAll ends all connections, so that the other gateways follow the store themselves.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		session.Close()
	}
}
