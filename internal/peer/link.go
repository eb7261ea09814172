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

// controlQueueLength bounds the control messages that are queued for one gateway. The holder of a cell, which decides
// ownership, sends about seven per second to each other gateway of the cell.
const controlQueueLength = 64

// link holds the session to one gateway with its idle streams and its queue of control messages.
type link struct {
	address      string
	dial         DialFunc
	controlQueue chan []byte
	closed       chan struct{}
	closeOnce    sync.Once

	// dialSlot is a semaphore that serializes dials, so that mu is not held during network calls.
	dialSlot chan struct{}

	// mu protects the fields below.
	mu      sync.Mutex
	session *yamux.Session
	backoff backoff
	// idle holds streams that can be reused for the next request. Streams of earlier sessions are skipped.
	idle []*ClientStream
}

func newLink(address string, dial DialFunc) *link {
	l := &link{
		address:      address,
		dial:         dial,
		controlQueue: make(chan []byte, controlQueueLength),
		closed:       make(chan struct{}),
		dialSlot:     make(chan struct{}, 1),
	}
	go l.sendControl()
	return l
}

// acquire returns an idle stream of the live session, or opens a stream.
func (l *link) acquire(ctx context.Context) (*ClientStream, error) {
	session, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	if c := l.getIdle(session); c != nil {
		return c, nil
	}
	stream, err := l.openOnSession(session)
	if err != nil {
		return nil, err
	}
	return &ClientStream{Stream: stream, Reader: bufio.NewReaderSize(stream, readBufferBytes), link: l, session: session}, nil
}

// getIdle removes and returns an idle stream of session, or returns nil.
func (l *link) getIdle(session *yamux.Session) *ClientStream {
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

// putIdle keeps a stream for reuse. It returns false if the session has been replaced or closed, or if enough streams
// are idle.
func (l *link) putIdle(c *ClientStream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.session != l.session || c.session.IsClosed() || len(l.idle) >= maxIdleStreams {
		return false
	}
	l.idle = append(l.idle, c)
	return true
}

// open opens a stream that is not reused.
func (l *link) open(ctx context.Context) (*yamux.Stream, error) {
	session, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return l.openOnSession(session)
}

// openOnSession opens a stream on session, and discards the session if that fails.
func (l *link) openOnSession(session *yamux.Session) (*yamux.Stream, error) {
	stream, err := session.OpenStream()
	if err != nil {
		l.discardSession(session)
		return nil, errors.Mark(errors.Wrapf(err, "open stream to %s", l.address), ErrConnect)
	}
	return stream, nil
}

// connect returns the live session or dials a new one. At most one dial is in progress at a time.
func (l *link) connect(ctx context.Context) (*yamux.Session, error) {
	if session, err := l.liveSession(); session != nil || err != nil {
		return session, err
	}
	select {
	case l.dialSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrapf(ctx.Err(), "dial %s", l.address), ErrConnect)
	}
	defer func() { <-l.dialSlot }()
	if session, err := l.liveSession(); session != nil || err != nil {
		return session, err
	}
	// The session is shared by many requests, so the dial must not be canceled with the request that started it.
	session, err := dialSession(context.WithoutCancel(ctx), l.dial, l.address)
	return session, l.recordDial(session, err)
}

// liveSession returns the session if it is open, or the error of the last dial during its backoff. It returns nil for
// both if a dial is needed.
func (l *link) liveSession() (*yamux.Session, error) {
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

// recordDial keeps the result of a dial: the session, or the error for the time of the backoff. It closes the session
// and returns ErrClosed if the link has been closed.
func (l *link) recordDial(session *yamux.Session, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
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

func (l *link) discardSession(session *yamux.Session) {
	_ = session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session {
		l.session = nil
	}
}

// enqueueControl queues a control message, or returns ErrQueueFull. It does not block.
func (l *link) enqueueControl(payload []byte) error {
	select {
	case l.controlQueue <- payload:
		return nil
	default:
		return errors.Wrapf(ErrQueueFull, "gateway %s", l.address)
	}
}

func (l *link) close() {
	l.closeOnce.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
	}
}

// sendControl writes queued control messages to one stream, and opens a new stream after a failure. Messages that
// cannot be sent are dropped: the state machines send again what is still relevant.
func (l *link) sendControl() {
	var stream *yamux.Stream
	for {
		select {
		case <-l.closed:
			return
		case payload := <-l.controlQueue:
			stream = l.writeControl(stream, payload)
		}
	}
}

// writeControl writes a message to stream, or to a new one if stream is nil. It returns the stream for the next
// message, or nil after a failure.
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
