package httpcheck

import (
	"bytes"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/netwrite"
)

// maxLineBytes limits a line of a head.
const maxLineBytes = 64 << 10

// carriageReturn may stand before the line feed that ends a line.
var carriageReturn = []byte("\r")

// Conn is a connection whose reader parses responses by net/http. It checks their heads before net/http sees them.
type Conn struct {
	net.Conn
	// writer is nil if the connection is not one of the operating system.
	writer *netwrite.Writer

	// mu protects the fields below.
	mu sync.Mutex
	// head is that of the latest response.
	head *Head
	// reading is set until the head has ended.
	reading bool
	// line is the part of the next line that has arrived.
	line []byte
	// err is the error of a malformed line. Nothing is read after it: a reader of lines may take what came before an error for a
	// whole line, and go on.
	err error
}

// NewConn returns a connection that checks what is read from conn once BeginResponse has been called.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, head: &Head{}}
	if system, ok := conn.(syscall.Conn); ok {
		if raw, err := system.SyscallConn(); err == nil {
			c.writer = netwrite.NewWriter(raw)
		}
	}
	return c
}

// Write implements net.Conn.
func (c *Conn) Write(content []byte) (int, error) {
	if c.writer == nil {
		return c.Conn.Write(content)
	}
	return c.writer.Write(content)
}

// SawReset reports whether a write has failed because the connection did not end in an ordinary way.
func (c *Conn) SawReset() bool { return c.writer != nil && c.writer.SawReset() }

// BeginResponse makes the next bytes be checked as the head of a response. It is called before each request.
func (c *Conn) BeginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startHead()
}

// startHead begins another head. The caller must hold mu.
func (c *Conn) startHead() {
	c.head, c.reading, c.line = &Head{}, true, nil
}

// Head returns the head of the latest response.
func (c *Conn) Head() *Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// Read implements net.Conn. It fails with an ErrMalformed at the end of a malformed line of a head.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if checkErr := c.check(buffer[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

// check checks the part of the received bytes that belongs to a head.
func (c *Conn) check(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range received {
		if !c.reading || c.err != nil {
			break
		}
		if b == '\n' {
			c.err = c.endLine()
			continue
		}
		c.line = append(c.line, b)
	}
	if len(c.line) > maxLineBytes && c.err == nil {
		c.err = errors.Wrapf(ErrMalformed, "line of a head is longer than %d bytes", maxLineBytes)
	}
	return c.err
}

// endLine checks a line that has arrived. The caller must hold mu.
func (c *Conn) endLine() error {
	ended, err := c.head.Line(bytes.TrimSuffix(c.line, carriageReturn))
	c.line = c.line[:0]
	switch {
	case err != nil:
		return err
	case ended && c.head.IsInterim():
		c.startHead()
	case ended:
		c.reading, c.line = false, nil
	}
	return nil
}
