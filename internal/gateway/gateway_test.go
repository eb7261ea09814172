package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

func echo(_ context.Context, r *backend.Request) (*backend.Response, error) {
	body := ""
	if r.Body != nil {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		body = string(data)
	}
	return newResponse(r.Method + " " + r.Path + " " + r.Key + " " + body), nil
}

// Checks that requests and responses are not altered when they are forwarded between gateways.
func TestForwardingPreservesRequestAndResponse(t *testing.T) {
	p := newGatewayPair(t, fakeDispatchers{"k1": echo, "s1": echo})
	long := strings.Repeat("x", 300<<10)
	for _, tc := range []struct {
		path, body, want string
		header           map[string]string
	}{
		{"/v1/keyed/batches/7?full=1", "", "POST /batches/7?full=1 depot-1 ", map[string]string{HeaderKey: "depot-1"}},
		{"/v1/keyed/a", long, "POST /a depot-1 " + long, map[string]string{HeaderKey: "depot-1"}},
		{"/v1/shared/fees", "amount=1", "POST /fees  amount=1", nil},
	} {
		r, err := http.DefaultClient.Do(p.request(t, http.MethodPost, tc.path, tc.header, tc.body))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(r.Body)
		if err != nil || string(got) != tc.want || r.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d, %d bytes, error %v; want %d bytes", tc.path, r.StatusCode, len(got), err, len(tc.want))
		}
		if r.Header.Get("X-Backend") != "k1" || r.Header.Get(HeaderRequestID) == "" {
			t.Errorf("%s: headers %v", tc.path, r.Header)
		}
	}
}

// failingBody is a response body that ends with an error.
type failingBody struct{ io.Reader }

func (failingBody) Close() error { return nil }

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func truncateAfter(n int, length int64) dispatchFunc {
	return func(context.Context, *backend.Request) (*backend.Response, error) {
		response := newResponse(strings.Repeat("y", n))
		response.Body = failingBody{io.MultiReader(response.Body, errorReader{})}
		response.ContentLength = length
		return response, nil
	}
}

// Checks that a truncated response never appears complete to the client.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for name, dispatch := range map[string]dispatchFunc{
		"short with length":    truncateAfter(100, 200),
		"short without length": truncateAfter(100, -1),
		"long with length":     truncateAfter(600<<10, 700<<10),
		"long without length":  truncateAfter(600<<10, -1),
	} {
		t.Run(name, func(t *testing.T) {
			p := newGatewayPair(t, fakeDispatchers{"s1": dispatch})
			r, err := http.DefaultClient.Do(p.request(t, http.MethodPost, "/v1/shared/fees", nil, ""))
			if err != nil {
				return
			}
			defer r.Body.Close()
			_, err = io.ReadAll(r.Body)
			if err == nil && r.StatusCode == http.StatusOK {
				t.Errorf("truncated response was received as complete")
			}
		})
	}
}

func decodeProblem(t *testing.T, r *http.Response) map[string]any {
	t.Helper()
	defer r.Body.Close()
	var document map[string]any
	if err := json.NewDecoder(r.Body).Decode(&document); err != nil {
		t.Fatalf("status %d: %v", r.StatusCode, err)
	}
	if r.Header.Get("Content-Type") != outcome.ContentType {
		t.Errorf("content type %q", r.Header.Get("Content-Type"))
	}
	return document
}

// Checks that malformed requests do not reach a backend server and that refusals state the outcome.
func TestMalformedRequestsAreNotExecuted(t *testing.T) {
	var runs atomic.Int64
	count := func(ctx context.Context, r *backend.Request) (*backend.Response, error) {
		runs.Add(1)
		return echo(ctx, r)
	}
	p := newGatewayPair(t, fakeDispatchers{"k1": count, "s1": count})
	key := map[string]string{HeaderKey: "k"}
	for _, tc := range []struct {
		path   string
		header map[string]string
		status int
	}{
		{"/v2/keyed/a", key, http.StatusNotFound},
		{"/v1/absent/a", key, http.StatusNotFound},
		{"/v1/keyed/a", nil, http.StatusBadRequest},
		{"/v1/keyed/a/../b", key, http.StatusBadRequest},
		{"/v1/keyed/a%2Fb", key, http.StatusBadRequest},
		{"/v1/keyed//a", key, http.StatusBadRequest},
		{"/v1/keyed/a", map[string]string{HeaderKey: "k", HeaderTimeout: "0"}, http.StatusBadRequest},
		{"/v1/keyed/a", map[string]string{HeaderKey: "k", HeaderTimeout: "30001"}, http.StatusBadRequest},
		{"/v1/keyed/a", map[string]string{HeaderKey: strings.Repeat("k", 513)}, http.StatusBadRequest},
		{"/v1/shared/a", map[string]string{HeaderSubscriber: ""}, http.StatusBadRequest},
		{"/v1/shared/" + strings.Repeat("a", 9000), nil, http.StatusRequestURITooLong},
	} {
		r, err := http.DefaultClient.Do(p.request(t, http.MethodPost, tc.path, tc.header, ""))
		if err != nil {
			t.Fatal(err)
		}
		document := decodeProblem(t, r)
		if r.StatusCode != tc.status || document["outcome"] != "not-run" {
			t.Errorf("%.40s: status %d, want %d; document %v", tc.path, r.StatusCode, tc.status, document)
		}
	}
	if runs.Load() != 0 {
		t.Errorf("%d malformed requests reached a backend server", runs.Load())
	}
}

// Checks that a request with an unknown outcome is retried if it is idempotent, and is not executed a second time
// otherwise.
func TestUnknownOutcomeIsRetriedOnlyIfIdempotent(t *testing.T) {
	for _, tc := range []struct {
		method string
		runs   int64
		status int
	}{
		{http.MethodPost, 1, http.StatusBadGateway},
		{http.MethodGet, 2, http.StatusOK},
	} {
		var runs atomic.Int64
		p := newGatewayPair(t, fakeDispatchers{"k1": func(ctx context.Context, r *backend.Request) (*backend.Response, error) {
			if runs.Add(1) == 1 {
				return nil, outcome.New(outcome.KindConnectionLost, http.StatusBadGateway, outcome.Unknown, "lost")
			}
			return echo(ctx, r)
		}})
		r, err := http.DefaultClient.Do(p.request(t, tc.method, "/v1/keyed/a", map[string]string{HeaderKey: "k"}, ""))
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if runs.Load() != tc.runs || r.StatusCode != tc.status {
			t.Errorf("%s: %d executions, status %d; want %d and %d", tc.method, runs.Load(), r.StatusCode, tc.runs, tc.status)
		}
	}
}

// Checks that the outcome stays unknown if the first attempt may have been executed and the retry is refused.
func TestRefusedRetryKeepsOutcomeUnknown(t *testing.T) {
	var runs atomic.Int64
	p := newGatewayPair(t, fakeDispatchers{"k1": func(context.Context, *backend.Request) (*backend.Response, error) {
		if runs.Add(1) == 1 {
			return nil, outcome.New(outcome.KindConnectionLost, http.StatusBadGateway, outcome.Unknown, "lost")
		}
		return nil, outcome.New(outcome.KindDeadline, http.StatusServiceUnavailable, outcome.NotExecuted, "no time left")
	}})
	r, err := http.DefaultClient.Do(p.request(t, http.MethodGet, "/v1/keyed/a", map[string]string{HeaderKey: "k"}, ""))
	if err != nil {
		t.Fatal(err)
	}
	if document := decodeProblem(t, r); document["outcome"] != "unknown" || runs.Load() != 2 {
		t.Errorf("%d attempts, document %v; want 2 and the outcome unknown", runs.Load(), document)
	}
}

// Checks that the outcome stays unknown if the request may have been executed before its service was removed from the
// configuration.
func TestRemovedServiceKeepsOutcomeUnknown(t *testing.T) {
	var p *gatewayPair
	p = newGatewayPair(t, fakeDispatchers{"k1": func(context.Context, *backend.Request) (*backend.Response, error) {
		c := *p.entry.RoutingTable().Config
		c.Services = nil
		p.entry.SetRoutingTable(NewRoutingTable("entry", &c, testSnapshot("k1")))
		return nil, outcome.New(outcome.KindConnectionLost, http.StatusBadGateway, outcome.Unknown, "lost")
	}})
	r, err := http.DefaultClient.Do(p.request(t, http.MethodGet, "/v1/keyed/a", map[string]string{HeaderKey: "k"}, ""))
	if err != nil {
		t.Fatal(err)
	}
	if document := decodeProblem(t, r); document["outcome"] != "unknown" {
		t.Errorf("document %v, want the outcome unknown", document)
	}
}

// Checks that a request is not refused while its key moves from one owner to another.
func TestRequestWaitsForOwner(t *testing.T) {
	p := newGatewayPair(t, fakeDispatchers{"k1": echo})
	withOwner := p.entry.RoutingTable()
	p.entry.SetRoutingTable(withOwner.WithSnapshot(testSnapshot("")))
	done := make(chan int, 1)
	r := p.request(t, http.MethodPost, "/v1/keyed/a", map[string]string{HeaderKey: "k"}, "")
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			done <- 0
			return
		}
		response.Body.Close()
		done <- response.StatusCode
	}()
	for p.entry.waitingRetries.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	p.entry.SetRoutingTable(withOwner)
	if status := <-done; status != http.StatusOK {
		t.Errorf("status %d, want 200 after the owner was set", status)
	}
}

// Checks that a request is canceled at the home gateway when the client disconnects.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	p := newGatewayPair(t, fakeDispatchers{"s1": func(ctx context.Context, _ *backend.Request) (*backend.Response, error) {
		close(started)
		<-ctx.Done()
		close(canceled)
		return nil, outcome.New(outcome.KindCanceled, 499, outcome.Unknown, "canceled")
	}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	r := p.request(t, http.MethodPost, "/v1/shared/fees", nil, "")
	if response, err := http.DefaultClient.Do(r.WithContext(ctx)); err == nil {
		response.Body.Close()
	}
	<-canceled
}

// Checks that a slow or endless request body does not occupy a slot of the backend server.
func TestIncompleteBodyIsRefusedBeforeDispatch(t *testing.T) {
	p := newGatewayPair(t, fakeDispatchers{"s1": echo})
	body, writer := io.Pipe()
	defer writer.Close()
	r := p.request(t, http.MethodPost, "/v1/shared/fees", map[string]string{HeaderTimeout: "50"}, "")
	r.Body, r.ContentLength = body, 100
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return // The server closed the connection without reading the body.
	}
	if document := decodeProblem(t, response); document["outcome"] != "not-run" {
		t.Errorf("document %v", document)
	}
}
