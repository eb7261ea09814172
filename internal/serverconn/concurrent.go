package serverconn

import (
	"time"

	"github.com/cockroachdb/errors"
)

// exchangeConcurrently writes the request and reads the response at the same time.
func (c *conn) exchangeConcurrently(request *Request, write func() error) (*Response, error) {
	written := make(chan error, 1)
	go func() {
		err := write()
		written <- err
		if errors.Is(err, ErrRequestBody) {
			// The pending read of the response then fails.
			c.close()
		}
	}()
	response, err := c.readMatching(request)
	if err != nil {
		c.close()
		return nil, c.writeFailure(request, written, err)
	}
	select {
	case err := <-written:
		c.reusable = c.reusable && err == nil
	default:
		c.finishWrite(written)
	}
	return response, nil
}

// writeFailure returns the error of an exchange whose response could not be read: that of the write if it tells more.
// A write that waits for the rest of the body from the client is not waited for.
func (c *conn) writeFailure(request *Request, written <-chan error, readErr error) error {
	if request.Rest != nil {
		select {
		case err := <-written:
			return writeErrorFirst(err, readErr)
		default:
			return readErr
		}
	}
	return writeErrorFirst(<-written, readErr)
}

func writeErrorFirst(writeErr, readErr error) error {
	if errors.Is(writeErr, ErrNotSent) || errors.Is(writeErr, ErrRequestBody) {
		return writeErr
	}
	return readErr
}

// finishWrite lets the rest of a large request be written after its response, for at most lateWriteTimeout, and then
// closes the connection.
func (c *conn) finishWrite(written <-chan error) {
	c.draining = true
	go func() {
		select {
		case <-written:
		case <-time.After(lateWriteTimeout):
		}
		c.close()
	}()
}
