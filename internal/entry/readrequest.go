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

// request is an HTTP request with its complete body.
type request struct {
	http *http.Request
	body []byte
	// arrived is the time at which the request had been read completely.
	arrived time.Time
	// closeAfter is set if the client wants the connection to be closed after the response.
	closeAfter bool
	responded  chan *response
}

// statusClientGone marks a response that is not written because the client has disconnected.
const statusClientGone = 0

// bodyTimeout limits how long the body of a request may take to arrive.
const bodyTimeout = 20 * time.Second

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// readRequest reads one request. If the request cannot be read, it also returns an error response. Both results are nil
// if the client disconnected while sending the request.
func (c *clientConn) readRequest(limits connLimits) (*request, *response) {
	r := &request{responded: make(chan *response, 1)}
	r.http = &http.Request{Method: http.MethodGet}
	// An error in setting a deadline also makes the next read fail.
	_ = c.tcp.SetReadDeadline(time.Now().Add(limits.headerTimeout))
	c.limited.N = int64(limits.maxHeaderBytes) + readBufferBytes
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return c.headerError(r, err)
	}
	r.http = parsed
	r.closeAfter = parsed.Close || !parsed.ProtoAtLeast(1, 1)
	if parsed.ContentLength > limits.maxBodyBytes {
		return r, gatewayResponse(http.StatusRequestEntityTooLarge, "body is longer than the limit; send less")
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
		return r, gatewayResponse(http.StatusRequestTimeout, "body did not arrive in time; send it again")
	case err != nil:
		return nil, nil
	case int64(len(r.body)) > limits.maxBodyBytes:
		return r, gatewayResponse(http.StatusRequestEntityTooLarge, "body is longer than the limit; send less")
	}
	r.arrived = time.Now()
	return r, nil
}

// headerError returns the response to a request whose header could not be read.
func (c *clientConn) headerError(r *request, err error) (*request, *response) {
	if c.source.err != nil {
		err = c.source.err
	}
	switch {
	case isTimeout(err):
		return r, gatewayResponse(http.StatusRequestTimeout, "header did not arrive in time; send it again")
	case c.limited.N <= 0:
		return r, gatewayResponse(http.StatusRequestHeaderFieldsTooLarge, "header is longer than the limit; send less")
	case isDisconnect(err):
		return nil, nil
	default:
		return r, gatewayResponse(http.StatusBadRequest, "request cannot be read; send HTTP/1.1")
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isDisconnect reports whether the connection has ended.
func isDisconnect(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}
