package backend

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errReplay is the cause of the cancellation when net/http would write a request a second time.
var errReplay = errors.New("the connection failed after the request was written; the request is not repeated")

// attempt follows one request through net/http. Its trace runs on the goroutine that calls RoundTrip.
type attempt struct {
	cancel context.CancelCauseFunc
	conn   *guardedConn
	// wrote is true once a byte of the request was or may be written.
	wrote atomic.Bool
	// reused is true if the connection had carried another request before.
	reused bool
	// allowReplay leaves the protection to the other measures. Only tests set it.
	allowReplay bool
}

// trace returns the hooks for net/http.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

// gotConn runs before the request is written to a connection, and runs again if net/http repeats it.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*guardedConn)
	again := a.abort()
	a.conn = conn
	a.reused = info.Reused
	conn.begin(a)
	if again && !a.allowReplay {
		conn.seal(a)
		a.cancel(errReplay)
	}
}

// abort rules out that any byte is written from now on, and reports whether one was or may have been.
func (a *attempt) abort() bool {
	if a.conn != nil {
		a.conn.seal(a)
	}
	return a.wrote.Load()
}
