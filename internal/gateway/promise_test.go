package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// attemptAnswer is what a backend server does with one attempt: it refuses the request before executing it, or executes it.
type attemptAnswer struct {
	refused bool
	// status is that of the response to a request that was executed. 0 stands for none.
	status int
}

func (a attemptAnswer) give() (*backend.Response, error) {
	switch {
	case a.refused:
		return nil, outcome.New(outcome.KindShed, http.StatusServiceUnavailable, outcome.NotExecuted, "shed")
	case a.status == 0:
		return nil, outcome.New(outcome.KindConnectionLost, http.StatusBadGateway, outcome.Unknown, "lost")
	}
	response := newResponse("")
	response.Status = a.status
	return response, nil
}

// Guards against a response with 408, 421, 429 or 503, which promise that a request was not executed, to one that was: whatever a
// server answers, on either attempt, and whether the request may be sent again or not.
func TestPromisesAreTrue(t *testing.T) {
	last := []attemptAnswer{{refused: true}, {}}
	for status := http.StatusOK; status < 600; status++ {
		if http.StatusText(status) != "" {
			last = append(last, attemptAnswer{status: status})
		}
	}
	unavailable := attemptAnswer{status: http.StatusServiceUnavailable}
	for _, before := range [][]attemptAnswer{nil, {{refused: true}}, {unavailable}, {{}}} {
		for _, a := range last {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				t.Run(fmt.Sprint(before, a, method), func(t *testing.T) {
					t.Parallel()
					sendAnswered(t, method, append(slices.Clone(before), a))
				})
			}
		}
	}
}

// sendAnswered sends a request to a server that gives these answers, the last one again and again, and compares the response with
// what the server did.
func sendAnswered(t *testing.T, method string, answers []attemptAnswer) {
	var mu sync.Mutex
	var given []attemptAnswer
	p := newGatewayPair(t, fakeDispatchers{"k1": func(context.Context, *backend.Request) (*backend.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		a := answers[min(len(given), len(answers)-1)]
		given = append(given, a)
		return a.give()
	}})
	response, err := http.DefaultTransport.RoundTrip(p.request(t, method, "/v1/keyed/a", map[string]string{HeaderKey: "k"}, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	mu.Lock()
	defer mu.Unlock()
	ran := func(a attemptAnswer) bool { return !a.refused }
	executed, final := slices.ContainsFunc(given, ran), given[len(given)-1]
	switch {
	case executed && outcome.PromisesNotExecuted(response.StatusCode):
		t.Errorf("status %d after %v", response.StatusCode, given)
	case !executed && response.StatusCode != http.StatusServiceUnavailable:
		t.Errorf("status %d after %v, want 503", response.StatusCode, given)
	case final.status != 0 && outcome.PromisesNotExecuted(final.status):
		document := decodeProblem(t, response)
		detail, _ := document["detail"].(string)
		if response.StatusCode != http.StatusBadGateway || document["outcome"] != "unknown" || !strings.Contains(detail, fmt.Sprint(final.status)) {
			t.Errorf("status %d, document %v in place of %d", response.StatusCode, document, final.status)
		}
	case final.status != 0 && response.StatusCode != final.status:
		t.Errorf("status %d after %v, want that of the server", response.StatusCode, given)
	}
	if method == http.MethodPost && slices.ContainsFunc(given[:len(given)-1], ran) {
		t.Errorf("a request that is not idempotent was sent again after %v", given)
	}
}
