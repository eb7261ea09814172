package peer

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// controlQueueLength bounds the control messages that wait for one gateway. A holder sends about seven a
// second to each member.
const controlQueueLength = 64

// link is the session to one gateway with its control stream.
type link struct {
	address string
	dial    DialFunc
	control chan []byte
	done    chan struct{}
	once    sync.Once

	// dialing serializes dials without holding mu over network calls.
	dialing chan struct{}

	// mu protects the fields below.
	mu      sync.Mutex
	session *yamux.Session
	backoff backoff
	// idle holds streams of the session that wait for the next request.
	idle []*ClientStream
}

func newLink(address string, dial DialFunc) *link {
	l := &link{
		address: address,
		dial:    dial,
		control: make(chan []byte, controlQueueLength),
		done:    make(chan struct{}),
		dialing: make(chan struct{}, 1),
	}
	go l.runControl()
	return l
}

// acquire returns an idle stream or opens one.
func (l *link) acquire(ctx context.Context) (*ClientStream, error) {
	session, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	if c := l.takeIdle(session); c != nil {
		return c, nil
	}
	stream, err := l.openOn(session)
	if err != nil {
		return nil, err
	}
	return &ClientStream{Stream: stream, Reader: bufio.NewReaderSize(stream, readBufferBytes), link: l, session: session}, nil
}

func (l *link) takeIdle(session *yamux.Session) *ClientStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.idle) > 0 {
		c := l.idle[len(l.idle)-1]
		l.idle = l.idle[:len(l.idle)-1]
		if c.session == session {
			return c
		}
	}
	return nil
}

// keep stores a stream for the next request and returns false if there is no use for it.
func (l *link) keep(c *ClientStream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.session != l.session || c.session.IsClosed() || len(l.idle) >= maxIdleStreams {
		return false
	}
	l.idle = append(l.idle, c)
	return true
}

func (l *link) open(ctx context.Context) (*yamux.Stream, error) {
	session, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return l.openOn(session)
}

// openOn opens a stream of a session, and forgets a session that does not open one.
func (l *link) openOn(session *yamux.Session) (*yamux.Stream, error) {
	stream, err := session.OpenStream()
	if err != nil {
		l.forget(session)
		return nil, errors.Mark(errors.Wrapf(err, "open stream to %s", l.address), ErrConnect)
	}
	return stream, nil
}

// connect returns the live session or dials a new one.
func (l *link) connect(ctx context.Context) (*yamux.Session, error) {
	if session, err := l.current(); session != nil || err != nil {
		return session, err
	}
	select {
	case l.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "dial %s", l.address), ErrConnect)
	}
	defer func() { <-l.dialing }()
	if session, err := l.current(); session != nil || err != nil {
		return session, err
	}
	// The dial must not end with the request that happened to start it.
	session, err := dialSession(context.WithoutCancel(ctx), l.dial, l.address)
	return session, l.store(session, err)
}

func (l *link) current() (*yamux.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	if l.backoff.active(time.Now()) {
		return nil, l.backoff.err
	}
	return nil, nil
}

func (l *link) store(session *yamux.Session, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		if session != nil {
			_ = session.Close()
		}
		return ErrClosed
	default:
	}
	l.session = session
	l.backoff = backoff{until: time.Now().Add(redialBackoff), err: err}
	return err
}

func (l *link) forget(session *yamux.Session) {
	_ = session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session {
		l.session = nil
	}
}

func (l *link) send(payload []byte) error {
	select {
	case l.control <- payload:
		return nil
	default:
		return errors.Wrapf(ErrQueueFull, "gateway %s", l.address)
	}
}

func (l *link) close() {
	l.once.Do(func() { close(l.done) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
	}
}

// runControl writes queued control messages to one stream, and opens a new one after a failure.
// Messages that cannot be sent are dropped: the state machines repeat what matters.
func (l *link) runControl() {
	var stream *yamux.Stream
	for {
		select {
		case <-l.done:
			return
		case payload := <-l.control:
			stream = l.writeControl(stream, payload)
		}
	}
}

func (l *link) writeControl(stream *yamux.Stream, payload []byte) *yamux.Stream {
	if stream == nil {
		opened, err := l.open(context.Background())
		if err != nil {
			return nil
		}
		stream = opened
	}
	if err := wire.WriteFrame(stream, wire.FrameControl, payload); err != nil {
		_ = stream.Close()
		return nil
	}
	return stream
}
