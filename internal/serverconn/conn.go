package serverconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/sapphireplank/sapphireplank/internal/exchange"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// longRequestBytes is the size above which a request is written while its answer is read: a backend server may
	// answer before it has read the whole body.
	longRequestBytes = 16 << 10
	// keepAliveMargin is how much earlier than the backend server says a connection is given up.
	keepAliveMargin = 1500 * time.Millisecond
	// noKeepAlive is used where the backend server does not say how long it keeps an idle connection.
	noKeepAlive = time.Hour
	// lateWrite bounds the rest of a long request after its answer has come.
	lateWrite = time.Second
)

// conn is one connection. One request at a time uses it.
type conn struct {
	tcp      *net.TCPConn
	limited  *io.LimitedReader
	reader   *bufio.Reader
	headers  exchange.Headers
	settings Settings
	usedAt   time.Time
	// keepAlive is how long the backend server keeps the connection while it is idle.
	keepAlive time.Duration
	// reused is true if an earlier request has used the connection.
	reused bool
	// reusable is true if the last answer left the connection in a known state.
	reusable bool
	// finishing is true while the rest of a request is written after its answer. The connection closes itself then.
	finishing bool
}

func newConn(tcp *net.TCPConn, headers exchange.Headers, settings Settings) *conn {
	limited := &io.LimitedReader{R: tcp}
	return &conn{
		tcp:       tcp,
		limited:   limited,
		reader:    bufio.NewReaderSize(limited, readBufferBytes),
		headers:   headers,
		settings:  settings,
		keepAlive: noKeepAlive,
	}
}

// close ends the connection. The dialer of package netdial makes that a reset.
func (c *conn) close() {
	// Nothing can be done about a connection that cannot be closed.
	_ = c.tcp.Close()
}

// quiet reports whether the backend server has neither closed the idle connection nor sent anything on it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	// The deadline of the last request would end the look at the socket.
	if err := c.tcp.SetDeadline(time.Time{}); err != nil {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends the request and reads its answer. An error closes the connection's use.
func (c *conn) exchange(ctx context.Context, request *Request, encoded []byte) (*Response, error) {
	if err := c.tcp.SetDeadline(deadline(ctx)); err != nil {
		return nil, errors.WithSecondaryError(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() {
		// The exchange then ends with a timeout.
		_ = c.tcp.SetDeadline(time.Unix(1, 0))
	})
	defer stop()
	c.reusable = false
	if len(encoded) <= longRequestBytes {
		if err := c.write(encoded); err != nil {
			return nil, err
		}
		return c.read(request)
	}
	return c.exchangeLong(request, encoded)
}

// exchangeLong writes and reads at the same time.
func (c *conn) exchangeLong(request *Request, encoded []byte) (*Response, error) {
	written := make(chan error, 1)
	go func() { written <- c.write(encoded) }()
	answer, err := c.read(request)
	if err != nil {
		c.close()
		if writeErr := <-written; errors.Is(writeErr, ErrNotSent) {
			return nil, writeErr
		}
		return nil, err
	}
	select {
	case err := <-written:
		c.reusable = c.reusable && err == nil
	default:
		c.finishWrite(written)
	}
	return answer, nil
}

// finishWrite lets the rest of a long request out after its answer, and closes the connection then.
func (c *conn) finishWrite(written <-chan error) {
	c.finishing = true
	go func() {
		select {
		case <-written:
		case <-time.After(lateWrite):
		}
		c.close()
	}()
}

func (c *conn) write(encoded []byte) error {
	n, err := c.tcp.Write(encoded)
	if err == nil {
		return nil
	}
	if n == 0 {
		return errors.WithSecondaryError(ErrNotSent, err)
	}
	return lost(err)
}

// read returns the answer to the request and skips those of earlier requests.
func (c *conn) read(request *Request) (*Response, error) {
	for {
		answer, keep, err := c.readOne(request.Method)
		if err != nil {
			return nil, err
		}
		if answer == nil {
			continue
		}
		if answer.Metadata.ID != request.ID && (answer.Metadata.ID != "" || c.reused) {
			if !keep {
				return nil, errors.Wrap(ErrInvalidResponse, "last answer on the connection belongs to another request")
			}
			continue
		}
		c.reusable = keep && c.reader.Buffered() == 0
		return answer, nil
	}
}

// readOne reads one answer. It returns nil for an interim answer.
func (c *conn) readOne(method string) (*Response, bool, error) {
	c.limited.N = maxHeaderBytes
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, false, readError(err)
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK {
		return nil, true, nil
	}
	c.limited.N = c.settings.MaxResponseBodyBytes + 1
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, false, lost(err)
	}
	if int64(len(body)) > c.settings.MaxResponseBodyBytes {
		return nil, false, errors.Wrapf(ErrInvalidResponse, "body is longer than %d bytes", c.settings.MaxResponseBodyBytes)
	}
	c.keepAlive = keepAlive(response.Header)
	answer := &Response{
		Status:   response.StatusCode,
		Header:   response.Header,
		Body:     body,
		Metadata: c.headers.ParseResponse(response.StatusCode, response.Header),
	}
	return answer, !response.Close, nil
}

// readError tells a lost connection from bytes that are no answer.
func readError(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return lost(err)
	}
	return errors.WithSecondaryError(ErrInvalidResponse, err)
}

func lost(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.WithSecondaryError(ErrTimeout, err)
	}
	return errors.WithSecondaryError(ErrIncompleteResponse, err)
}

// keepAlive returns how long an idle connection may be used again.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return noKeepAlive
}

func deadline(ctx context.Context) time.Time {
	when, _ := ctx.Deadline()
	return when
}
