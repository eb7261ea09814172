package serverconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/sapphireplank/sapphireplank/internal/exchange"
	"github.com/sapphireplank/sapphireplank/internal/netwrite"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
	// concurrentWriteBytes is the request size above which the request is written while the response is being read: a
	// backend server may respond before it has read the whole body.
	concurrentWriteBytes = 16 << 10
	// keepAliveMargin is subtracted from the idle timeout that the backend server announces, so that a connection is
	// retired before the server closes it.
	keepAliveMargin = 1500 * time.Millisecond
	// defaultKeepAlive applies if the backend server does not announce an idle timeout.
	defaultKeepAlive = time.Hour
	// lateWriteTimeout limits how long the rest of a large request may still be written after its response has arrived.
	lateWriteTimeout = time.Second
)

// ConnID identifies a connection to a backend server during the life of the process.
type ConnID uint64

// lastConnID is the ID of the latest connection.
var lastConnID atomic.Uint64

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	id       ConnID
	tcp      *net.TCPConn
	raw      syscall.RawConn
	writer   *netwrite.Writer
	limited  *io.LimitedReader
	reader   *bufio.Reader
	headers  exchange.Headers
	settings Settings
	lastUsed time.Time
	// keepAlive is how long the backend server keeps the connection open while it is idle.
	keepAlive time.Duration
	// reused is set if the connection has carried an earlier request.
	reused bool
	// reusable is set if the last response left the connection in a known state.
	reusable bool
	// draining is set while the rest of a request is written after its response. The connection is closed once that
	// ends.
	draining bool
}

func newConn(tcp *net.TCPConn, headers exchange.Headers, settings Settings) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: tcp}
	return &conn{
		id:        ConnID(lastConnID.Add(1)),
		tcp:       tcp,
		raw:       raw,
		writer:    netwrite.NewWriter(raw),
		limited:   limited,
		reader:    bufio.NewReaderSize(limited, readBufferBytes),
		headers:   headers,
		settings:  settings,
		keepAlive: defaultKeepAlive,
	}, nil
}

// close closes the connection. The dialer of package netdial configures it to be reset on close.
func (c *conn) close() {
	// A failed close cannot be handled.
	_ = c.tcp.Close()
}

// idle reports whether the backend server has neither closed the connection nor sent anything on it.
func (c *conn) idle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	// An expired deadline of the previous request would make the check fail.
	if err := c.tcp.SetDeadline(time.Time{}); err != nil {
		return false
	}
	idle := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// exchange sends the request and reads its response. After an error the connection must not be reused.
func (c *conn) exchange(ctx context.Context, request *Request, encoded []byte) (*Response, error) {
	if err := c.tcp.SetDeadline(contextDeadline(ctx)); err != nil {
		return nil, errors.WithSecondaryError(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() {
		// The pending read or write then fails with a timeout.
		_ = c.tcp.SetDeadline(time.Unix(1, 0))
	})
	defer stop()
	c.reusable = false
	switch {
	case request.Rest != nil:
		return c.exchangeConcurrently(request, func() error { return c.writeStream(request, encoded) })
	case len(encoded) > concurrentWriteBytes:
		return c.exchangeConcurrently(request, func() error { return c.write(encoded) })
	}
	if err := c.write(encoded); err != nil {
		return nil, err
	}
	return c.readMatching(request)
}

func (c *conn) write(encoded []byte) error {
	n, err := c.writer.Write(encoded)
	if err == nil {
		return nil
	}
	if n == 0 {
		return errors.WithSecondaryError(ErrNotSent, err)
	}
	return connectionError(err)
}

func contextDeadline(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}
