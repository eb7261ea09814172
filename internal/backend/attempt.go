package backend

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errReplay is the cancellation cause of a request that net/http was about to retry after writing it.
var errReplay = errors.New("the connection failed after the request was written; the request is not repeated")

// attempt tracks the transmission of one request by net/http. Its trace hooks run on the goroutine that calls RoundTrip.
type attempt struct {
	cancel context.CancelCauseFunc
	conn   *writeTrackingConn
	// mayHaveWritten is true once a byte of the request was or may have been written.
	mayHaveWritten atomic.Bool
	// reused is true if the connection had already carried another request.
	reused bool
	// allowReplay disables cancellation on replay. Tests set it to check the other protections alone.
	allowReplay bool
}

// trace returns the hooks through which net/http calls gotConn.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn}
}

// gotConn is called before the request is written to a connection, and again if net/http retries the request.
// It cancels the retry if the request may already have been written.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn.(*writeTrackingConn)
	written := a.stopWrites()
	a.conn = conn
	a.reused = info.Reused
	conn.assign(a)
	if written && !a.allowReplay {
		conn.closeFor(a)
		a.cancel(errReplay)
	}
}

// stopWrites prevents further writes of the request and reports whether any byte of it was or may have been
// written.
func (a *attempt) stopWrites() bool {
	if a.conn != nil {
		a.conn.closeFor(a)
	}
	return a.mayHaveWritten.Load()
}
