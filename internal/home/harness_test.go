package home

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// testPartitions is 1, so that every key that is not a hot key is in partition 0.
const testPartitions = 1

// harness runs a dispatcher with a fake backend server on fake time.
type harness struct {
	*testing.T
	server     *standin.Server
	dispatcher *Dispatcher

	mu sync.Mutex // mu protects the fields below
	// leaseEnd is the end of the home lease. While it is zero, the lease is always renewed.
	leaseEnd time.Time
	lastID   uint16
}

// withHarness runs a test on fake time. For a sharded service, the server owns the only partition from the
// start.
func withHarness(t *testing.T, config Config, options standin.Options, test func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{T: t}
		options.Name, options.Fenced, options.Slots = "a", config.Fenced, config.Slots
		config.Partitions = testPartitions
		config.LeaseEnd = func() time.Time {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.leaseEnd.IsZero() {
				return time.Now().Add(HomeLease)
			}
			return h.leaseEnd
		}
		h.server = standin.New(options)
		h.dispatcher = Open(config, h.server.Client())
		h.setOwned(1, false)
		test(h)
		h.dispatcher.Close()
		h.server.Close()
		time.Sleep(2 * time.Minute) // net/http notices the closed connections before the bubble ends
	})
}

func (h *harness) setOwned(seq uint64, releasing bool) {
	h.dispatcher.Apply(Assignment{Owned: []OwnedScope{{Token: fence.Token{Generation: 1, Seq: seq}, Releasing: releasing}}})
}

func (h *harness) setLease(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaseEnd = time.Now().Add(d)
}

// request returns a request that must be executed at most once, unless change makes it idempotent.
func (h *harness) request(change func(*backend.Request)) *backend.Request {
	h.mu.Lock()
	h.lastID++
	id := h.lastID
	h.mu.Unlock()
	req := &backend.Request{
		ID: backend.RequestID{byte(id >> 8), byte(id)}, Subscriber: "s", Method: "POST", Path: "/x", Key: "k",
		Deadline: time.Now().Add(5 * time.Second), Header: http.Header{},
	}
	if change != nil {
		change(req)
	}
	if req.Identity != "" {
		req.Header.Set("Idempotency-Key", req.Identity)
	}
	return req
}

func withIdentity(text string) func(*backend.Request) {
	return func(req *backend.Request) { req.Identity = text }
}

// do sends a request, reads the whole response and returns the status or a description of the error.
func (h *harness) do(ctx context.Context, req *backend.Request) string {
	response, err := h.dispatcher.Do(ctx, req)
	if err != nil {
		return describeError(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(response.Status)
}

func describeError(err error) string {
	var problem *outcome.Problem
	if !errors.As(err, &problem) {
		return err.Error()
	}
	return string(problem.Kind) + " " + problem.Outcome.String()
}

// startRequest sends a request in the background.
func (h *harness) startRequest(ctx context.Context, req *backend.Request) <-chan string {
	result := make(chan string, 1)
	go func() { result <- h.do(ctx, req) }()
	synctest.Wait()
	return result
}

func (h *harness) checkResult(what, got, want string) {
	h.Helper()
	if got != want {
		h.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func (h *harness) checkExecutions(req *backend.Request, want int) {
	h.Helper()
	if got := h.server.RequestExecutions(req.ID.String()); got != want {
		h.Errorf("request %s was executed %d times, want %d", req.ID, got, want)
	}
}

var (
	fencedConfig  = Config{Keyed: true, Fenced: true, Slots: 2}
	unkeyedConfig = Config{Slots: 2}
)
