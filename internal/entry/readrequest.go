package entry

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// request is a request with its whole body.
type request struct {
	http *http.Request
	body []byte
	// arrived is when the whole request was read.
	arrived time.Time
	// closeAfter is true if the caller wants the connection to end after the answer.
	closeAfter bool
	answered   chan *answer
}

// statusAbandoned marks an answer that nobody gets, because the caller has left.
const statusAbandoned = 0

// bodyTimeout bounds the time in which the body of a request arrives.
const bodyTimeout = 20 * time.Second

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// readRequest reads one request. It returns an answer for a request that cannot be read, and nothing if the caller
// left in the middle of it.
func (c *clientConn) readRequest(limits connLimits) (*request, *answer) {
	r := &request{answered: make(chan *answer, 1)}
	r.http = &http.Request{Method: http.MethodGet}
	// Failures of deadlines show on the next read.
	_ = c.tcp.SetReadDeadline(time.Now().Add(limits.headerTimeout))
	c.limited.N = int64(limits.maxHeaderBytes) + readBufferBytes
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return c.headerFailure(r, err)
	}
	r.http = parsed
	r.closeAfter = parsed.Close || !parsed.ProtoAtLeast(1, 1)
	if parsed.ContentLength > limits.maxBodyBytes {
		return r, ownAnswer(http.StatusRequestEntityTooLarge, "body is longer than the limit; send less")
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		parsed.Header.Del("Expect")
		if _, err := c.tcp.Write(continueLine); err != nil {
			return nil, nil
		}
	}
	_ = c.tcp.SetReadDeadline(time.Now().Add(bodyTimeout))
	c.limited.N = limits.maxBodyBytes + readBufferBytes
	r.body, err = io.ReadAll(io.LimitReader(parsed.Body, limits.maxBodyBytes+1))
	switch {
	case isTimeout(err):
		return r, ownAnswer(http.StatusRequestTimeout, "body did not arrive in time; send it again")
	case err != nil:
		return nil, nil
	case int64(len(r.body)) > limits.maxBodyBytes:
		return r, ownAnswer(http.StatusRequestEntityTooLarge, "body is longer than the limit; send less")
	}
	r.arrived = time.Now()
	return r, nil
}

// headerFailure returns the answer to a header that cannot be read.
func (c *clientConn) headerFailure(r *request, err error) (*request, *answer) {
	switch {
	case isTimeout(err):
		return r, ownAnswer(http.StatusRequestTimeout, "header did not arrive in time; send it again")
	case c.limited.N <= 0:
		return r, ownAnswer(http.StatusRequestHeaderFieldsTooLarge, "header is longer than the limit; send less")
	case isLeave(err):
		return nil, nil
	default:
		return r, ownAnswer(http.StatusBadRequest, "request cannot be read; send HTTP/1.1")
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isLeave reports whether the connection ended.
func isLeave(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}
