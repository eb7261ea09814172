package entry

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/bytebudget"
)

// request is an HTTP request. Its body is body, followed by rest.
type request struct {
	http *http.Request
	body []byte
	// rest is the part of a long body that is forwarded while it arrives, or nil.
	rest *bodyStream
	// memory accounts for the bodies of the request and its response.
	memory *bytebudget.Account
	// arrived is the time at which the request had been read completely, apart from rest.
	arrived time.Time
	// closeAfter is set if the client wants the connection to be closed after the response.
	closeAfter bool
	responded  chan *response
}

// statusClientGone marks a response that is not written because the client has disconnected.
const statusClientGone = 0

// bodyTimeout limits how long the body of a request may take to arrive.
const bodyTimeout = 20 * time.Second

// readRequest reads one request. If the request cannot be read, it also returns an error response. Both results are nil
// if the client disconnected while sending the request.
func (c *clientConn) readRequest(limits connLimits) (*request, *response) {
	r := &request{responded: make(chan *response, 1), memory: c.server.memory.Account()}
	r.http = &http.Request{Method: http.MethodGet}
	c.limitRead(limits.headerTimeout)
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
		if err := c.writeContinue(); err != nil {
			return nil, nil
		}
	}
	c.limitRead(bodyTimeout)
	c.limited.N = maxFramedBytes(limits.maxBodyBytes)
	return c.readBody(r, limits)
}

// maxFramedBytes returns the number of bytes that a body of at most the given length may take on the wire.
func maxFramedBytes(body int64) int64 { return chunkOverhead*body + readBufferBytes }

// chunkOverhead is the highest ratio of the bytes on the wire to those of the body: a chunk of one byte takes six.
const chunkOverhead = 6

// readBody reads the body of a request, or the first part of a long one.
func (c *clientConn) readBody(r *request, limits connLimits) (*request, *response) {
	held := min(c.server.heldBodyBytes, limits.maxBodyBytes)
	var err error
	r.body, err = r.memory.ReadAll(r.http.Body, held+1)
	switch {
	case errors.Is(err, bytebudget.ErrExhausted):
		c.server.log.WithError(err).Info("request refused; its body does not fit into memory")
		return r, notExecutedResponse("no memory for the body; send the request again", noMemoryRetryAfter)
	case isTimeout(err):
		return r, gatewayResponse(http.StatusRequestTimeout, "body did not arrive in time; send it again")
	case err != nil:
		r.memory.Release()
		return nil, nil
	case int64(len(r.body)) > limits.maxBodyBytes:
		return r, gatewayResponse(http.StatusRequestEntityTooLarge, "body is longer than the limit; send less")
	case int64(len(r.body)) > held:
		r.rest = newBodyStream(c, r.http.Body, limits.maxBodyBytes-int64(len(r.body)))
	}
	r.arrived = time.Now()
	return r, nil
}

// noMemoryRetryAfter is the Retry-After time of a request whose body does not fit into memory. Other requests end within
// that time.
const noMemoryRetryAfter = 200 * time.Millisecond

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
