package serverconn

import (
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/bytebudget"
	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
	"github.com/sapphireplank/sapphireplank/internal/httpstatus"
)

// readMatching returns the response to the request. It skips late responses to earlier requests.
func (c *conn) readMatching(request *Request) (*Response, error) {
	for {
		response, keep, err := c.readOne(request)
		if err != nil {
			return nil, err
		}
		if response == nil {
			continue
		}
		if response.Metadata.ID != request.ID && (response.Metadata.ID != "" || c.reused) {
			if !keep {
				return nil, errors.Wrap(ErrInvalidResponse, "last response on the connection belongs to another request")
			}
			continue
		}
		c.reusable = keep && c.reader.Buffered() == 0
		return response, nil
	}
}

// readOne reads one response. It returns nil for an interim (1xx) response.
func (c *conn) readOne(request *Request) (*Response, bool, error) {
	c.limited.N = maxHeaderBytes
	head, err := c.checkHead()
	if err != nil {
		return nil, false, err
	}
	httpResponse, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, false, readError(err)
	}
	defer httpResponse.Body.Close()
	if httpstatus.IsInterim(httpResponse.StatusCode) {
		return nil, true, nil
	}
	body, err := c.readWholeBody(request, head, httpResponse)
	if err != nil {
		return nil, false, err
	}
	c.keepAlive = keepAlive(httpResponse.Header)
	response := &Response{
		Status:   httpResponse.StatusCode,
		Header:   httpResponse.Header,
		Body:     body,
		Metadata: c.headers.ParseResponse(httpResponse.StatusCode, httpResponse.Header),
		Conn:     c.id,
	}
	return response, !httpResponse.Close, nil
}

// readWholeBody returns the body of a response, or an error if it is too long or not certain to be whole.
func (c *conn) readWholeBody(request *Request, head *httpcheck.Head, response *http.Response) ([]byte, error) {
	limit := c.settings.MaxResponseBodyBytes
	c.limited.N = limit + 1
	body, err := readBody(request, response.Body, limit+1)
	switch {
	case errors.Is(err, bytebudget.ErrExhausted):
		return nil, invalidResponse(err)
	case err != nil:
		return nil, connectionError(err)
	case int64(len(body)) > limit:
		return nil, errors.Wrapf(ErrInvalidResponse, "response body exceeds %d bytes", limit)
	case httpcheck.EndsWithConnection(response) && c.writer.SawReset():
		return nil, errors.Wrap(ErrIncompleteResponse, "connection was reset while the request was being written")
	case response.Body == http.NoBody:
		return body, nil
	}
	err = errors.CombineErrors(head.CheckLength(len(body)), httpcheck.Fields(response.Trailer))
	if err != nil {
		return nil, invalidResponse(err)
	}
	return body, nil
}

// readBody reads at most limit bytes of a response body.
func readBody(request *Request, body io.Reader, limit int64) ([]byte, error) {
	if request.Memory == nil {
		return io.ReadAll(io.LimitReader(body, limit))
	}
	return request.Memory.ReadAll(body, limit)
}

// readError distinguishes a lost connection from bytes that are not a valid response.
func readError(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) {
		return connectionError(err)
	}
	// The message may quote the value of a field, which may be confidential.
	return errors.WithSecondaryError(ErrInvalidResponse, err)
}

func connectionError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.WithSecondaryError(ErrTimeout, err)
	}
	return errors.WithSecondaryError(ErrIncompleteResponse, err)
}

// keepAlive returns how long an idle connection may be reused, according to the Keep-Alive header.
func keepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultKeepAlive
}
