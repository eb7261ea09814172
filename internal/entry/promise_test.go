package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// answer is what a backend server does with one attempt.
type answer struct {
	// status is that of its response. 0 stands for none.
	status int
	// notExecuted is set if the response states that the request was not executed. Otherwise the server has executed it.
	notExecuted bool
}

// earlierAnswers are the answers to the first attempt, if there are two. The last one gets the answer of the case.
var earlierAnswers = map[string]*answer{
	"only attempt":      nil,
	"after a refusal":   {status: http.StatusServiceUnavailable, notExecuted: true},
	"after a failure":   {status: http.StatusServiceUnavailable},
	"after no response": {},
}

// Guards against a response with 408, 421, 429 or 503, which promise that a request was not executed, to one that was: whatever a
// server answers, on either attempt, and whether the request may be sent again or not.
func TestPromisesAreTrue(t *testing.T) {
	for status := http.StatusOK; status < 600; status++ {
		if http.StatusText(status) == "" {
			continue
		}
		for _, notExecuted := range []bool{false, true} {
			for name, before := range earlierAnswers {
				for _, path := range []string{"/order/", "/read/"} {
					t.Run(fmt.Sprintf("%d not executed %v %s %s", status, notExecuted, name, path), func(t *testing.T) {
						t.Parallel()
						checkPromise(t, path, before, answer{status, notExecuted})
					})
				}
			}
		}
	}
}

// checkPromise sends a request to a server that gives these answers, and compares the response with what the server did.
func checkPromise(t *testing.T, path string, before *answer, last answer) {
	answers := []answer{last}
	if before != nil {
		answers = []answer{*before, last}
	}
	var mu sync.Mutex
	var given []answer
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		a := answers[min(len(given), len(answers)-1)]
		given = append(given, a)
		mu.Unlock()
		a.write(w, r)
	})
	f := newFixture(t, b)
	conn := f.dial(t)
	conn.send("POST", path+"x", "a")
	response, body := conn.receive()
	mu.Lock()
	defer mu.Unlock()
	executed := slices.ContainsFunc(given, func(a answer) bool { return !a.notExecuted })
	final := given[len(given)-1]
	switch promises := outcome.PromisesNotExecuted(response.StatusCode); {
	case promises && executed:
		t.Errorf("status %d after %v", response.StatusCode, given)
	case !executed && response.StatusCode != http.StatusServiceUnavailable:
		t.Errorf("status %d after %v, want 503", response.StatusCode, given)
	case executed && !final.notExecuted && outcome.PromisesNotExecuted(final.status):
		checkReplaced(t, response, body, final.status)
	case !final.notExecuted && final.status != 0 && response.StatusCode != final.status:
		t.Errorf("status %d after %v, want that of the server", response.StatusCode, given)
	}
	if path == "/order/" && slices.ContainsFunc(given[:len(given)-1], func(a answer) bool { return !a.notExecuted }) {
		t.Errorf("an order was sent again after %v", given)
	}
}

// checkReplaced checks a response in place of one whose promise is not true.
func checkReplaced(t *testing.T, response *http.Response, body string, status int) {
	t.Helper()
	if response.StatusCode != http.StatusBadGateway || response.Header.Get("Sign") != "" || response.Header.Get("Retry-After") != "" {
		t.Errorf("status %d with header %v in place of %d, want 502 of the gateway's own", response.StatusCode, response.Header, status)
	}
	if response.Header.Get("Content-Type") != outcome.ContentType || !strings.Contains(body, fmt.Sprint(status)) {
		t.Errorf("%q does not say that the server answered %d", body, status)
	}
}

func (a answer) write(w http.ResponseWriter, r *http.Request) {
	if a.status == 0 {
		abort(w, r)
	}
	if a.notExecuted {
		w.Header().Set("Not-Run", "1")
	}
	w.Header().Set("Retry-After", "0")
	w.Header().Set("Sign", "1")
	w.WriteHeader(a.status)
}
