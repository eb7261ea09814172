package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// readBody reads the whole body before a slot is asked for, so that a caller who sends slowly holds none.
// The returned function gives the memory back.
func (g *Gateway) readBody(ctx context.Context, r *http.Request) ([]byte, func(), *outcome.Problem) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, func() {}, nil
	}
	if r.ContentLength > MaxBodyBytes {
		return nil, nil, tooLarge()
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = MaxBodyBytes
	}
	if err := g.bodies.Acquire(ctx, reserved); err != nil {
		return nil, nil, bodyTimeout("the gateway has no memory for the body before the deadline; try again later")
	}
	release := func() { g.bodies.Release(reserved) }
	body, err := readAll(r, reserved)
	if err != nil {
		release()
		return nil, nil, bodyProblem(err)
	}
	return body, release, nil
}

func readAll(r *http.Request, size int64) ([]byte, error) {
	limited := http.MaxBytesReader(nil, r.Body, MaxBodyBytes)
	if r.ContentLength < 0 {
		return io.ReadAll(limited)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(limited, body)
	return body, err
}

func bodyProblem(err error) *outcome.Problem {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return tooLarge()
	}
	return bodyTimeout("the body did not arrive whole before the deadline; send it again")
}

func tooLarge() *outcome.Problem {
	return outcome.New(outcome.KindTooLarge, http.StatusRequestEntityTooLarge, outcome.NotExecuted,
		"the body exceeds 8 MB; split it")
}

func bodyTimeout(detail string) *outcome.Problem {
	return outcome.New(outcome.KindBodyTimeout, http.StatusRequestTimeout, outcome.NotExecuted, detail)
}
