package home

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// bench is a dispatcher with its stand-in backend server on fake time.
type bench struct {
	t          *testing.T
	server     *standin.Server
	dispatcher *Dispatcher
	leaseEnd   time.Time
	lastID     byte
}

const testPartitions = 4

func newBench(t *testing.T, config Config, options standin.Options) *bench {
	b := &bench{t: t, leaseEnd: time.Now().Add(time.Hour)}
	options.Fenced = config.Fenced
	options.Slots = config.Slots
	config.Partitions = testPartitions
	config.Lease = func() time.Time { return b.leaseEnd }
	b.server = standin.New(options)
	b.dispatcher = Open(config, b.server.Client())
	t.Cleanup(func() {
		b.dispatcher.Close()
		b.server.Close()
		time.Sleep(time.Minute) // lets net/http notice the closed connections before the bubble ends
	})
	return b
}

func (b *bench) ownAll(releasing ...int) {
	assignment := Assignment{}
	for p := range testPartitions {
		assignment.Owned = append(assignment.Owned, Owned{
			Scope: backend.Scope{Partition: partition(p)}, Token: fence.Token{Generation: 1, Seq: uint64(p + 1)},
		})
	}
	for _, p := range releasing {
		assignment.Owned[p].Releasing = true
	}
	b.dispatcher.Apply(assignment)
}

func (b *bench) request(change func(*backend.Request)) *backend.Request {
	b.lastID++
	req := &backend.Request{
		ID: backend.RequestID{b.lastID}, Subscriber: "s", Method: "POST", Path: "/x", Key: "k", ContentLength: 0,
		Deadline: time.Now().Add(5 * time.Second),
	}
	if change != nil {
		change(req)
	}
	return req
}

// do runs a request to the end of its answer.
func (b *bench) do(ctx context.Context, req *backend.Request) error {
	response, err := b.dispatcher.Do(ctx, req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

func kindOf(err error) outcome.Kind {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem.Kind
	}
	return ""
}

func outcomeOf(err error) outcome.Outcome {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem.Outcome
	}
	return outcome.Ran
}

// TestFencedRequestRuns guards against requests that are sent before the grant is in force.
func TestFencedRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, Config{Keyed: true, Fenced: true, Slots: 3}, standin.Options{Name: "a", ServiceTime: time.Millisecond})
		b.ownAll()
		for range 5 {
			if err := b.do(t.Context(), b.request(nil)); err != nil {
				t.Fatal(err)
			}
		}
		if got := b.server.Counters(); got.Executions != 5 || len(got.Refused) != 0 {
			t.Fatalf("counters %+v", got)
		}
	})
}

func partition(p int) keyspace.Partition { return keyspace.Partition(p) }
