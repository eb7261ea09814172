package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/hopheader"
	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Do sends the request and returns the response once its header has arrived. It is canceled at the deadline of
// the request. Every error is an *outcome.Problem. Its outcome is NotExecuted only if no byte of the request was
// written or if the server refused the request before executing it.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	target, problem := requestTarget(c.address, req.Path)
	if problem != nil {
		return nil, problem
	}
	header := c.requestHeader(req)
	for attemptNumber := 1; ; attemptNumber++ {
		response, stale, err := c.attemptOnce(ctx, req, target, header)
		if stale && attemptNumber < maxConnAttempts {
			continue
		}
		return response, err
	}
}

// attemptOnce makes one attempt to send the request. stale is true if the attempt failed on a reused connection
// before any byte was written and before the body was read, so that it can be repeated.
func (c *Client) attemptOnce(ctx context.Context, req *Request, target *url.URL, header http.Header) (
	response *Response, stale bool, err error,
) {
	deadlineCtx, cancelDeadline := context.WithDeadline(ctx, req.Deadline)
	attemptCtx, cancel := context.WithCancelCause(deadlineCtx)
	release := func() {
		cancel(context.Canceled)
		cancelDeadline()
	}
	tracker := &attempt{cancel: cancel, allowReplay: !c.abortReplays}
	body := &requestBody{reader: req.Body}
	httpRequest := (&http.Request{
		Method:        req.Method,
		URL:           target,
		Host:          c.address,
		Header:        header,
		Body:          body.forTransport(req.ContentLength),
		ContentLength: max(req.ContentLength, 0),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(httptrace.WithClientTrace(attemptCtx, tracker.trace()))
	httpResponse, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		mayHaveWritten := tracker.stopWrites()
		problem := transportProblem(attemptCtx, err, mayHaveWritten)
		release()
		stale = !mayHaveWritten && tracker.reused && !body.wasRead() && problem.Kind == outcome.KindConnectionLost
		return nil, stale, problem
	}
	response, err = newResponse(req, httpResponse, release)
	return response, false, err
}

// newResponse validates the header of a response and wraps the response. release is called once the body has
// been read or closed, or immediately on failure.
func newResponse(req *Request, httpResponse *http.Response, release func()) (*Response, error) {
	problem := checkResponse(req, httpResponse)
	if problem != nil {
		release()
		_ = httpResponse.Body.Close() // the response is discarded and its problem returned
		return nil, problem
	}
	hopheader.Remove(httpResponse.Header)
	httpResponse.Header.Del(HeaderRequestID)
	return &Response{
		Status:        httpResponse.StatusCode,
		Header:        httpResponse.Header,
		Body:          &responseBody{body: httpResponse.Body, release: release},
		ContentLength: httpResponse.ContentLength,
	}, nil
}

// checkResponse returns a problem if the response has no length, belongs to another request or is a refusal.
func checkResponse(req *Request, httpResponse *http.Response) *outcome.Problem {
	if httpResponse.Header.Get(HeaderRequestID) != req.ID.String() {
		return badResponse("the answer does not repeat the request id")
	}
	if httpcheck.EndsWithConnection(httpResponse) {
		return badResponse("the answer has no length, so that a cut could not be noticed")
	}
	return refusalProblem(httpResponse.StatusCode, httpResponse.Header)
}

func requestTarget(address, path string) (*url.URL, *outcome.Problem) {
	target, err := url.ParseRequestURI(path)
	if err != nil || !strings.HasPrefix(path, "/") {
		return nil, outcome.New(outcome.KindBadRequest, http.StatusBadRequest, outcome.NotExecuted,
			"the path is not a valid request target; send an absolute path")
	}
	target.Scheme = "http"
	target.Host = address
	return target, nil
}

func (c *Client) requestHeader(req *Request) http.Header {
	header := forwardedHeader(req.Header, c.hideIdempotencyKeys)
	header.Set(HeaderRequestID, req.ID.String())
	header.Set(HeaderDeadline, strconv.FormatInt(req.Deadline.UnixNano(), 10))
	if req.Subscriber != "" {
		header.Set(HeaderSubscriber, req.Subscriber)
	}
	if req.Key != "" {
		header.Set(HeaderKey, req.Key)
	}
	if req.Keyed {
		header.Set(HeaderScope, req.Scope.String())
	}
	if !req.Token.IsZero() {
		header.Set(HeaderToken, req.Token.String())
	}
	return header
}

// forTransport returns the body to pass to net/http. The request has no GetBody, so net/http cannot rewind the
// body for a retry.
func (b *requestBody) forTransport(length int64) io.ReadCloser {
	if b.reader == nil || length == 0 {
		return http.NoBody
	}
	return b
}
