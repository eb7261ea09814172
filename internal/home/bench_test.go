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

// testPartitions is 1, so that every key without an override is in partition 0.
const testPartitions = 1

// bench is a dispatcher with its stand-in backend server on fake time.
type bench struct {
	*testing.T
	server     *standin.Server
	dispatcher *Dispatcher

	mu sync.Mutex // mu protects the fields below
	// leaseEnd is the end of the home lease. While it is zero, heartbeats renew the lease.
	leaseEnd time.Time
	lastID   uint16
}

// onBench runs a test on fake time. Keyed services own their partition from the start.
func onBench(t *testing.T, config Config, options standin.Options, test func(*bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{T: t}
		options.Name, options.Fenced, options.Slots = "a", config.Fenced, config.Slots
		config.Partitions = testPartitions
		config.Lease = func() time.Time {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.leaseEnd.IsZero() {
				return time.Now().Add(HomeLease)
			}
			return b.leaseEnd
		}
		b.server = standin.New(options)
		b.dispatcher = Open(config, b.server.Client())
		b.own(1, false)
		test(b)
		b.dispatcher.Close()
		b.server.Close()
		time.Sleep(2 * time.Minute) // lets net/http notice the closed connections before the bubble ends
	})
}

func (b *bench) own(seq uint64, releasing bool) {
	b.dispatcher.Apply(Assignment{Owned: []OwnedScope{{Token: fence.Token{Generation: 1, Seq: seq}, Releasing: releasing}}})
}

func (b *bench) setLease(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaseEnd = time.Now().Add(d)
}

// request returns a request that must run once, unless change says otherwise.
func (b *bench) request(change func(*backend.Request)) *backend.Request {
	b.mu.Lock()
	b.lastID++
	id := b.lastID
	b.mu.Unlock()
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

func identity(text string) func(*backend.Request) {
	return func(req *backend.Request) { req.Identity = text }
}

// do runs a request to the end of its answer and describes how it ended.
func (b *bench) do(ctx context.Context, req *backend.Request) string {
	response, err := b.dispatcher.Do(ctx, req)
	if err != nil {
		return describe(err)
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(response.Status)
}

func describe(err error) string {
	var problem *outcome.Problem
	if !errors.As(err, &problem) {
		return err.Error()
	}
	return string(problem.Kind) + " " + problem.Outcome.String()
}

// start runs a request in the background.
func (b *bench) start(ctx context.Context, req *backend.Request) <-chan string {
	result := make(chan string, 1)
	go func() { result <- b.do(ctx, req) }()
	synctest.Wait()
	return result
}

func (b *bench) want(what, got, want string) {
	b.Helper()
	if got != want {
		b.Errorf("%s: got %q, want %q", what, got, want)
	}
}

func (b *bench) wantRuns(req *backend.Request, want int) {
	b.Helper()
	if got := b.server.RequestExecutions(req.ID.String()); got != want {
		b.Errorf("request %s was executed %d times, want %d", req.ID, got, want)
	}
}

var (
	fenced  = Config{Keyed: true, Fenced: true, Slots: 2}
	unkeyed = Config{Slots: 2}
)
