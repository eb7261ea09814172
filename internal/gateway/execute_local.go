package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// executeLocal executes the request on a backend server for which this gateway is the home gateway.
func (g *Gateway) executeLocal(ctx context.Context, c *call, server string) (*backend.Response, *outcome.Problem) {
	dispatcher, ok := g.options.Dispatchers.Dispatcher(server)
	if !ok {
		return nil, unavailable(outcome.KindNotHome, "the backend server has another home; route the request again")
	}
	c.request.Body = nil
	if len(c.body) > 0 {
		c.request.Body = bytes.NewReader(c.body)
	}
	response, err := dispatcher.Do(ctx, c.request)
	if err != nil {
		return nil, asProblem(err)
	}
	c.loadPercent = dispatcher.LoadPercent()
	return bufferResponse(response)
}

func asProblem(err error) *outcome.Problem {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return outcome.New(outcome.KindInternal, http.StatusInternalServerError, outcome.Unknown, err.Error())
}

// bufferResponse reads a short response completely, which frees the slot of the backend server. The rest of a longer
// one is read as it is sent on.
func bufferResponse(response *backend.Response) (*backend.Response, *outcome.Problem) {
	head, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes))
	if err != nil {
		_ = response.Body.Close()
		return nil, truncatedResponse()
	}
	rest := response.Body
	if len(head) < maxBufferedResponseBytes {
		_ = rest.Close()
		response.ContentLength = int64(len(head))
		response.Body = io.NopCloser(bytes.NewReader(head))
		return response, nil
	}
	response.Body = &partlyBufferedBody{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: rest}
	return response, nil
}

func truncatedResponse() *outcome.Problem {
	return outcome.New(outcome.KindBadResponse, http.StatusBadGateway, outcome.Unknown,
		"the answer of the backend server was cut; the request has probably run")
}

// partlyBufferedBody is a response body whose beginning is buffered and whose rest is read from the backend server.
type partlyBufferedBody struct {
	io.Reader
	io.Closer
}
