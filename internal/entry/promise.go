package entry

import (
	"net/http"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// truthful returns the response, or in its place one with an unknown outcome if its status promises that the request was not
// executed although it may have been.
func (f *forwarder) truthful(resp *response) *response {
	if outcome.MayReturn(resp.status, f.mayHaveExecuted) {
		return resp
	}
	f.handler.Metrics.CountReplacedResponse(resp.status)
	return problemResponse(outcome.FailedByServer(resp.status))
}

// problemResponse returns a response that is a problem document.
func problemResponse(problem *outcome.Problem) *response {
	header := http.Header{"Content-Type": {outcome.ContentType}}
	return &response{status: problem.Status, header: header, body: problem.Document()}
}
