package backend_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

var lastID uint64

// newRequest returns a request with a new id. It is not safe for parallel tests.
func newRequest(method, body string, header http.Header) *backend.Request {
	lastID++
	req := &backend.Request{
		Method: method, Path: "/x?y=1", Header: header, Subscriber: "s", ContentLength: int64(len(body)),
		Deadline: time.Now().Add(10 * time.Second),
	}
	binary.BigEndian.PutUint64(req.ID[:], lastID)
	if body != "" {
		req.Body = strings.NewReader(body)
	}
	return req
}

// sendRequest sends a request and returns the complete body of the response.
func sendRequest(ctx context.Context, client *backend.Client, req *backend.Request) (string, error) {
	response, err := client.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func outcomeOf(err error) string {
	var problem *outcome.Problem
	switch {
	case err == nil:
		return "complete"
	case errors.As(err, &problem):
		return problem.Outcome.String()
	default:
		return "truncated"
	}
}

// forEachTransport runs a test against an in-memory server with a simulated clock, and over TCP.
func forEachTransport(t *testing.T, options standin.Options, test func(*testing.T, *standin.Server, *backend.Client)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			server := standin.New(options)
			client := server.Client()
			test(t, server, client)
			client.Close()
			server.Close()
			time.Sleep(time.Minute) // lets net/http notice the closed connections before synctest ends
		})
	})
	t.Run("tcp", func(t *testing.T) {
		server := standin.New(options)
		defer server.Close()
		address, err := server.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		client := backend.New(backend.Options{Address: address, Slots: options.Slots})
		defer client.Close()
		test(t, server, client)
	})
}

// TestNoReplay checks that net/http does not retry a request on a new connection after the server has closed a
// reused one. Each protection alone must suffice for the requests that it covers. Without any protection the
// test must observe the second execution, which proves that the server provokes the retry.
func TestNoReplay(t *testing.T) {
	key := func(name string) http.Header { return http.Header{name: {"id-1"}} }
	tests := []struct {
		name                   string
		method, body           string
		header                 http.Header
		hideKeys, abortReplays bool
		wantRuns               int
	}{
		{"get", "GET", "", nil, true, true, 1},
		{"get, only abort", "GET", "", nil, false, true, 1},
		{"get, unprotected", "GET", "", nil, true, false, 2},
		{"post with body", "POST", "body", nil, true, true, 1},
		{"post with key", "POST", "", key("Idempotency-Key"), true, true, 1},
		{"post with key, only hidden", "POST", "", key("Idempotency-Key"), true, false, 1},
		{"post with key, only abort", "POST", "", key("Idempotency-Key"), false, true, 1},
		{"post with key, unprotected", "POST", "", key("Idempotency-Key"), false, false, 2},
		{"post with lower case key", "POST", "", key("idempotency-key"), true, false, 1},
		{"post with x key, only hidden", "POST", "", key("X-Idempotency-Key"), true, false, 1},
		{"post with x key, unprotected", "POST", "", key("X-Idempotency-Key"), false, false, 2},
		{"post with key and body", "POST", "body", key("Idempotency-Key"), true, true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			forEachTransport(t, standin.Options{Name: "a", Slots: 1}, func(t *testing.T, server *standin.Server, client *backend.Client) {
				if !test.hideKeys {
					client.DisableKeyHiding()
				}
				if !test.abortReplays {
					client.AllowReplays()
				}
				if _, err := sendRequest(t.Context(), client, newRequest("GET", "", nil)); err != nil {
					t.Fatal(err)
				}
				server.ConfigureFaults(func(s *standin.FaultConfig) { s.Fault = standin.FaultCloseAfterExecution; s.CloseReused = true })
				req := newRequest(test.method, test.body, test.header)
				_, err := sendRequest(t.Context(), client, req)
				if got := server.RequestExecutions(req.ID.String()); got != test.wantRuns {
					t.Errorf("request was executed %d times, want %d (error %v)", got, test.wantRuns, err)
				}
				if test.wantRuns == 1 && outcomeOf(err) != "unknown" {
					t.Errorf("outcome is %s, want unknown", outcomeOf(err))
				}
				if test.header != nil && server.IdentityExecutions("s", "id-1") != test.wantRuns {
					t.Error("server did not receive the idempotency key with each execution")
				}
			})
		})
	}
}

// TestClosedIdleConnection checks that requests are executed at most once and have a correct outcome if the
// server closes idle connections between requests.
func TestClosedIdleConnection(t *testing.T) {
	forEachTransport(t, standin.Options{Name: "a", Slots: 2}, func(t *testing.T, server *standin.Server, client *backend.Client) {
		for range 50 {
			req := newRequest("POST", "body", http.Header{"Idempotency-Key": {"id"}})
			_, err := sendRequest(t.Context(), client, req)
			runs := server.RequestExecutions(req.ID.String())
			if runs > 1 || (outcomeOf(err) == "not-run" && runs > 0) || (err == nil && runs != 1) {
				t.Fatalf("request was executed %d times with outcome %s: %v", runs, outcomeOf(err), err)
			}
			server.CloseIdleConnections()
		}
	})
}

// TestFaults checks the outcome reported for each fault: not-run only if the request was not executed, and
// complete only for responses that are not truncated.
func TestFaults(t *testing.T) {
	want := map[standin.Fault]struct {
		outcome string
		runs    int
	}{
		standin.FaultNone:                 {"complete", 1},
		standin.FaultShed:                 {"not-run", 0},
		standin.FaultCloseBeforeExecution: {"unknown", 0},
		standin.FaultCloseAfterExecution:  {"unknown", 1},
		standin.FaultTruncatedHeader:      {"unknown", 1},
		standin.FaultTruncatedBody:        {"truncated", 1},
		standin.FaultTruncatedChunkedBody: {"truncated", 1},
		standin.FaultInvalidHTTP:          {"unknown", 1},
		standin.FaultNoContentLength:      {"unknown", 1},
		standin.FaultWrongRequestID:       {"unknown", 1},
		standin.FaultDuplicateResponse:    {"complete", 1},
		standin.FaultSlowBody:             {"complete", 1},
		standin.FaultUnmarked503:          {"complete", 1},
	}
	for fault, expected := range want {
		for _, method := range []string{"GET", "POST"} {
			t.Run(fault.String()+"/"+method, func(t *testing.T) {
				forEachTransport(t, standin.Options{Name: "a", Slots: 1}, func(t *testing.T, server *standin.Server, client *backend.Client) {
					server.ConfigureFaults(func(s *standin.FaultConfig) { s.Fault = fault })
					req := newRequest(method, "", http.Header{"Idempotency-Key": {"id"}})
					body, err := sendRequest(t.Context(), client, req)
					if outcomeOf(err) != expected.outcome || server.RequestExecutions(req.ID.String()) != expected.runs {
						t.Fatalf("outcome is %s (%v) after %d executions", outcomeOf(err), err, server.RequestExecutions(req.ID.String()))
					}
					if err == nil && fault != standin.FaultUnmarked503 && !strings.HasSuffix(body, req.ID.String()) {
						t.Fatalf("body %q is not the response to request %s", body, req.ID)
					}
					// The next request must not receive remaining bytes of this response.
					server.ConfigureFaults(func(s *standin.FaultConfig) { s.Fault = standin.FaultNone })
					next := newRequest("GET", "", nil)
					body, err = sendRequest(t.Context(), client, next)
					if err == nil && !strings.HasSuffix(body, next.ID.String()) {
						t.Fatalf("body %q is not the response to request %s", body, next.ID)
					}
				})
			})
		}
	}
}

// TestRefusals checks that requests refused for their fencing token, and requests for which no connection can be
// established, have the outcome not-run.
func TestRefusals(t *testing.T) {
	forEachTransport(t, standin.Options{Name: "a", Slots: 1, Fenced: true}, func(t *testing.T, server *standin.Server, client *backend.Client) {
		grantClient := backend.NewGrantClient(client)
		_, err := sendRequest(t.Context(), client, newRequest("POST", "", nil))
		if outcomeOf(err) != "not-run" {
			t.Fatalf("request without a token: %v, want outcome not-run", err)
		}
		set := backend.GrantSet{Number: 1, Grants: []backend.Grant{{Scope: backend.Scope{HotKey: "a b"}, Token: token(2)}}}
		if _, err := grantClient.Renew(t.Context(), set, time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		send := func(seq uint64) string {
			req := newRequest("POST", "", nil)
			req.Keyed, req.Scope, req.Token = true, set.Grants[0].Scope, token(seq)
			_, err := sendRequest(t.Context(), client, req)
			return outcomeOf(err)
		}
		if got := send(1) + " " + send(2); got != "not-run complete" {
			t.Fatalf("outcomes with a stale and the current token: %s", got)
		}
		if err := grantClient.Withdraw(t.Context(), []backend.Scope{set.Grants[0].Scope}); err != nil {
			t.Fatal(err)
		}
		if got := send(2); got != "not-run" {
			t.Fatalf("outcome after the grant was withdrawn: %s", got)
		}
		client.Close()
		server.Close()
		if got := send(2); got != "not-run" {
			t.Fatalf("outcome after the server was closed: %s", got)
		}
	})
}
