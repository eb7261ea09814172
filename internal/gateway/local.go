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

// local executes the call on a backend server whose home this gateway is.
func (g *Gateway) local(ctx context.Context, c *call, server string) (*backend.Response, *outcome.Problem) {
	dispatcher, ok := g.options.Homes.Dispatcher(server)
	if !ok {
		return nil, refusal(outcome.KindNotHome, "the backend server has another home; route the request again")
	}
	c.request.Body = nil
	if len(c.body) > 0 {
		c.request.Body = bytes.NewReader(c.body)
	}
	answer, err := dispatcher.Do(ctx, c.request)
	if err != nil {
		return nil, asProblem(err)
	}
	c.load = dispatcher.LoadPercent()
	return buffered(answer)
}

func asProblem(err error) *outcome.Problem {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem
	}
	return outcome.New(outcome.KindInternal, http.StatusInternalServerError, outcome.Unknown, err.Error())
}

// buffered reads a short answer whole, which frees the slot of the backend server.
func buffered(answer *backend.Response) (*backend.Response, *outcome.Problem) {
	head, err := io.ReadAll(io.LimitReader(answer.Body, bufferedAnswerBytes))
	if err != nil {
		_ = answer.Body.Close()
		return nil, cutAnswer()
	}
	rest := answer.Body
	if len(head) < bufferedAnswerBytes {
		_ = rest.Close()
		answer.ContentLength = int64(len(head))
		answer.Body = io.NopCloser(bytes.NewReader(head))
		return answer, nil
	}
	answer.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: rest}
	return answer, nil
}

func cutAnswer() *outcome.Problem {
	return outcome.New(outcome.KindBadResponse, http.StatusBadGateway, outcome.Unknown,
		"the answer of the backend server was cut; the request has probably run")
}

// joinedBody is the buffered beginning of an answer with the rest behind it.
type joinedBody struct {
	io.Reader
	io.Closer
}
