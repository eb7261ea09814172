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

// newRequest returns a request with a fresh id. Tests of this package do not run in parallel.
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

// run sends a request and reads the answer to its end.
func run(ctx context.Context, client *backend.Client, req *backend.Request) (string, error) {
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
		return "cut"
	}
}

// over runs a test against a server in memory on fake time, and over TCP.
func over(t *testing.T, options standin.Options, test func(*testing.T, *standin.Server, *backend.Client)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			server := standin.New(options)
			client := server.Client()
			test(t, server, client)
			client.Close()
			server.Close()
			time.Sleep(time.Minute) // lets net/http notice the closed connections before the bubble ends
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

// TestNoReplay guards against net/http sending a request again on a new connection after the server closed
// a reused one. Each measure must be enough for the requests that it covers, and without any of them the
// second execution must be visible.
func TestNoReplay(t *testing.T) {
	key := func(name string) http.Header { return http.Header{name: {"id-1"}} }
	tests := []struct {
		name         string
		method, body string
		header       http.Header
		hide, abort  bool
		runs         int
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
			over(t, standin.Options{Name: "a", Slots: 1}, func(t *testing.T, server *standin.Server, client *backend.Client) {
				if !test.hide {
					client.DisableKeyHiding()
				}
				if !test.abort {
					client.AllowReplays()
				}
				if _, err := run(t.Context(), client, newRequest("GET", "", nil)); err != nil {
					t.Fatal(err)
				}
				server.Set(func(s *standin.Switches) { s.Fault = standin.FaultCloseAfter; s.CloseReused = true })
				req := newRequest(test.method, test.body, test.header)
				_, err := run(t.Context(), client, req)
				if got := server.Runs(req.ID.String()); got != test.runs {
					t.Errorf("executed %d times, want %d (err %v)", got, test.runs, err)
				}
				if test.runs == 1 && outcomeOf(err) != "unknown" {
					t.Errorf("outcome %s, want unknown", outcomeOf(err))
				}
				if test.header != nil && server.IdentityRuns("s", "id-1") != test.runs {
					t.Error("the identity did not reach the server")
				}
			})
		})
	}
}

// TestClosedIdleConnection guards against failures, and against second executions, when the server closes
// connections between requests.
func TestClosedIdleConnection(t *testing.T) {
	over(t, standin.Options{Name: "a", Slots: 2}, func(t *testing.T, server *standin.Server, client *backend.Client) {
		for range 50 {
			req := newRequest("POST", "body", http.Header{"Idempotency-Key": {"id"}})
			_, err := run(t.Context(), client, req)
			runs := server.Runs(req.ID.String())
			if runs > 1 || (outcomeOf(err) == "not-run" && runs > 0) || (err == nil && runs != 1) {
				t.Fatalf("executed %d times, outcome %s: %v", runs, outcomeOf(err), err)
			}
			server.CloseIdle()
		}
	})
}

// TestFaults guards against wrong verdicts: not run only if nothing ran, a cut answer never complete.
func TestFaults(t *testing.T) {
	want := map[standin.Fault]struct {
		outcome string
		runs    int
	}{
		standin.FaultNone:        {"complete", 1},
		standin.FaultShed:        {"not-run", 0},
		standin.FaultCloseBefore: {"unknown", 0},
		standin.FaultCloseAfter:  {"unknown", 1},
		standin.FaultCutHead:     {"unknown", 1},
		standin.FaultCutBody:     {"cut", 1},
		standin.FaultCutChunked:  {"cut", 1},
		standin.FaultGarbage:     {"unknown", 1},
		standin.FaultNoLength:    {"unknown", 1},
		standin.FaultOtherID:     {"unknown", 1},
		standin.FaultTwice:       {"complete", 1},
		standin.FaultSlowBody:    {"complete", 1},
		standin.FaultUnmarked:    {"complete", 1},
	}
	for fault, expected := range want {
		for _, method := range []string{"GET", "POST"} {
			t.Run(fault.String()+"/"+method, func(t *testing.T) {
				over(t, standin.Options{Name: "a", Slots: 1}, func(t *testing.T, server *standin.Server, client *backend.Client) {
					server.Set(func(s *standin.Switches) { s.Fault = fault })
					req := newRequest(method, "", http.Header{"Idempotency-Key": {"id"}})
					body, err := run(t.Context(), client, req)
					if outcomeOf(err) != expected.outcome || server.Runs(req.ID.String()) != expected.runs {
						t.Fatalf("outcome %s (%v), executed %d times", outcomeOf(err), err, server.Runs(req.ID.String()))
					}
					if err == nil && fault != standin.FaultUnmarked && !strings.HasSuffix(body, req.ID.String()) {
						t.Fatalf("body %q is not the answer to %s", body, req.ID)
					}
					// The next request must not get what is left of this one.
					server.Set(func(s *standin.Switches) { s.Fault = standin.FaultNone })
					next := newRequest("GET", "", nil)
					body, err = run(t.Context(), client, next)
					if err == nil && !strings.HasSuffix(body, next.ID.String()) {
						t.Fatalf("body %q is not the answer to %s", body, next.ID)
					}
				})
			})
		}
	}
}

// TestRefusals guards against a promise of not run that the server did not make, and against a refused
// connection that counts as unknown.
func TestRefusals(t *testing.T) {
	over(t, standin.Options{Name: "a", Slots: 1, Fenced: true}, func(t *testing.T, server *standin.Server, client *backend.Client) {
		grantor := backend.NewGrantClient(client)
		_, err := run(t.Context(), client, newRequest("POST", "", nil))
		if outcomeOf(err) != "not-run" {
			t.Fatalf("without a token: %v", err)
		}
		set := backend.GrantSet{Number: 1, Grants: []backend.Grant{{Scope: backend.Scope{HotKey: "a b"}, Token: token(2)}}}
		if _, err := grantor.Renew(t.Context(), set, time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		send := func(seq uint64) string {
			req := newRequest("POST", "", nil)
			req.Keyed, req.Scope, req.Token = true, set.Grants[0].Scope, token(seq)
			_, err := run(t.Context(), client, req)
			return outcomeOf(err)
		}
		if got := send(1) + " " + send(2); got != "not-run complete" {
			t.Fatalf("stale and current token: %s", got)
		}
		if err := grantor.Withdraw(t.Context(), []backend.Scope{set.Grants[0].Scope}); err != nil {
			t.Fatal(err)
		}
		if got := send(2); got != "not-run" {
			t.Fatalf("after the withdrawal: %s", got)
		}
		client.Close()
		server.Close()
		if got := send(2); got != "not-run" {
			t.Fatalf("without a connection: %s", got)
		}
	})
}
