// Package netwrite writes to connections whose input another goroutine reads.
package netwrite

import (
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Writer writes to a connection while another goroutine reads from it, and records how the connection ended. The kernel reports a
// reset only to the first call that meets it. If that is a write, the reader sees an ordinary end, and would take a response
// for complete that ends with its connection.
type Writer struct {
	raw syscall.RawConn

	// mu protects failure. It is held during each system call, so that a reader that has seen the end of the connection
	// also sees the failure that came before.
	mu sync.Mutex
	// failure is the error of the write that failed, or nil.
	failure error
}

// NewWriter returns a writer to a connection. All writes to that connection must go through it.
func NewWriter(raw syscall.RawConn) *Writer { return &Writer{raw: raw} }

// Write implements io.Writer.
func (w *Writer) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		n, err := w.writeOnce(content[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeOnce writes a part of the content as soon as the connection takes it.
func (w *Writer) writeOnce(content []byte) (int, error) {
	var n int
	var failure error
	err := w.raw.Write(func(fd uintptr) (done bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		n, failure = writeWithoutInterrupt(int(fd), content)
		if errors.Is(failure, unix.EAGAIN) {
			return false
		}
		w.failure = failure
		return true
	})
	if err != nil {
		return 0, err
	}
	if failure != nil {
		return 0, os.NewSyscallError("write", failure)
	}
	return n, nil
}

// writeWithoutInterrupt repeats a write that a signal interrupted.
func writeWithoutInterrupt(fd int, content []byte) (int, error) {
	for {
		n, err := unix.Write(fd, content)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// SawReset reports whether a write has failed because the connection did not end in an ordinary way. A broken pipe is none: the
// peer had ended its output before.
func (w *Writer) SawReset() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure != nil && !errors.Is(w.failure, unix.EPIPE)
}
