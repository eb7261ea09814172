package gateway

import (
	"net/http"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// checkPromise returns the response, or a problem in its place if its status promises that the request was not executed: a backend
// server that refuses a request says so in a field, and its response has then become a problem already.
func checkPromise(response *backend.Response) (*backend.Response, *outcome.Problem) {
	if outcome.MayReturn(response.Status, true) {
		return response, nil
	}
	// The response is discarded.
	_ = response.Body.Close()
	return nil, outcome.FailedByServer(response.Status)
}

// finalProblem returns the problem to report after the last attempt. If an earlier attempt may have been executed, the
// outcome is unknown even if the last attempt was not executed.
func finalProblem(p *outcome.Problem, mayHaveExecuted bool) *outcome.Problem {
	if p.Outcome != outcome.NotExecuted || !mayHaveExecuted {
		return p
	}
	unknown := *p
	unknown.Outcome = outcome.Unknown
	unknown.Detail = "an earlier attempt may have run, and the last one was refused: " + p.Detail
	if !outcome.MayReturn(p.Status, mayHaveExecuted) {
		unknown.Status = http.StatusBadGateway
		unknown.RetryAfter = 0
	}
	return &unknown
}
