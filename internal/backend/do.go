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
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Do sends the request once and returns the head of the answer. It gives up at the deadline of the request.
// Every error is an *outcome.Problem: not run only if no byte was written or the server refused beforehand.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	target, problem := targetOf(c.address, req.Path)
	if problem != nil {
		return nil, problem
	}
	header := c.headerOf(req)
	for try := 1; ; try++ {
		response, stale, err := c.once(ctx, req, target, header)
		if stale && try < maxStaleConnections {
			continue
		}
		return response, err
	}
}

// once makes one attempt. stale is true if it failed on a reused connection before a byte was written and
// the body is untouched.
func (c *Client) once(ctx context.Context, req *Request, target *url.URL, header http.Header) (
	response *Response, stale bool, err error,
) {
	limited, release := context.WithDeadline(ctx, req.Deadline)
	attemptCtx, cancel := context.WithCancelCause(limited)
	finish := func() {
		cancel(context.Canceled)
		release()
	}
	track := &attempt{cancel: cancel, allowReplay: !c.abortReplays}
	body := &trackedBody{source: req.Body}
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
	}).WithContext(httptrace.WithClientTrace(attemptCtx, track.trace()))
	answer, err := c.transport.RoundTrip(httpRequest)
	if err != nil {
		wrote := track.abort()
		problem := verdict(attemptCtx, err, wrote)
		finish()
		stale = !wrote && track.reused && !body.touched() && problem.Kind == outcome.KindConnectionLost
		return nil, stale, problem
	}
	response, err = accept(req, answer, finish)
	return response, false, err
}

// accept checks the head of an answer.
func accept(req *Request, answer *http.Response, finish func()) (*Response, error) {
	problem := check(req, answer)
	if problem != nil {
		finish()
		_ = answer.Body.Close() // the answer is dropped; the problem is what counts
		return nil, problem
	}
	hopheader.Remove(answer.Header)
	answer.Header.Del(HeaderRequestID)
	return &Response{
		Status:        answer.StatusCode,
		Header:        answer.Header,
		Body:          &responseBody{source: answer.Body, finish: finish},
		ContentLength: answer.ContentLength,
	}, nil
}

// check returns a problem if the answer is malformed, is not the answer to req, or is a refusal.
func check(req *Request, answer *http.Response) *outcome.Problem {
	if answer.Header.Get(HeaderRequestID) != req.ID.String() {
		return badAnswer("the answer does not repeat the request id")
	}
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return badAnswer("the backend server changed the protocol")
	}
	if endsWithConnection(req, answer) {
		return badAnswer("the answer has no length, so that a cut could not be noticed")
	}
	return refusalOf(answer.StatusCode, answer.Header)
}

// endsWithConnection reports whether the body lasts until the connection is closed.
func endsWithConnection(req *Request, answer *http.Response) bool {
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && req.Method != http.MethodHead
}

func targetOf(address, path string) (*url.URL, *outcome.Problem) {
	target, err := url.ParseRequestURI(path)
	if err != nil || !strings.HasPrefix(path, "/") {
		return nil, outcome.New(outcome.KindBadRequest, http.StatusBadRequest, outcome.NotExecuted,
			"the path is not a valid request target; send an absolute path")
	}
	target.Scheme = "http"
	target.Host = address
	return target, nil
}

func (c *Client) headerOf(req *Request) http.Header {
	header := requestHeader(req.Header, c.hideKeys)
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

// forTransport returns a body without GetBody, so that net/http cannot rewind it.
func (b *trackedBody) forTransport(length int64) io.ReadCloser {
	if b.source == nil || length == 0 {
		return http.NoBody
	}
	return b
}
