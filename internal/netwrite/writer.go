// Package netwrite writes to connections whose input another goroutine reads.
package netwrite

import (
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Writer writes to a connection while another goroutine reads from it, and records how the connection ended. The kernel reports a
// reset only to the first call that meets it. If that is a write, the reader sees an ordinary end, and would take a response
// for complete that ends with its connection. One goroutine may write at a time.
type Writer struct {
	raw syscall.RawConn
	// tryWrite is the method of this name.
	tryWrite func(fd uintptr) (done bool)
	// rest is what remains to be written.
	rest []byte

	// mu protects failure. It is held during each system call, so that a reader that has seen the end of the connection
	// also sees the failure that came before.
	mu sync.Mutex
	// failure is the error of the write that failed, or nil.
	failure error
}

// NewWriter returns a writer to a connection. All writes to that connection must go through it.
func NewWriter(raw syscall.RawConn) *Writer {
	w := &Writer{raw: raw}
	w.tryWrite = w.writeOnce
	return w
}

// Write implements io.Writer.
func (w *Writer) Write(content []byte) (int, error) {
	w.rest = content
	for len(w.rest) > 0 {
		if err := w.writeRest(); err != nil {
			return len(content) - len(w.rest), err
		}
	}
	return len(content), nil
}

// writeRest writes a part of the rest as soon as the connection takes it.
func (w *Writer) writeRest() error {
	if err := w.raw.Write(w.tryWrite); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.NewSyscallError("write", w.failure)
}

// writeOnce makes one system call. It reports false if the connection takes nothing at the moment.
func (w *Writer) writeOnce(fd uintptr) (done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := writeWithoutInterrupt(int(fd), w.rest)
	if err == syscall.EAGAIN {
		return false
	}
	w.failure = err
	w.rest = w.rest[max(n, 0):]
	return true
}

// writeWithoutInterrupt repeats a write that a signal interrupted. The race detector relates reads of net.Conn to writes of package
// syscall, but not to those of package unix.
func writeWithoutInterrupt(fd int, content []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, content)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// SawReset reports whether a write has failed because the connection did not end in an ordinary way. A broken pipe is none: the
// peer had ended its output before.
func (w *Writer) SawReset() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure != nil && !errors.Is(w.failure, syscall.EPIPE)
}
