package home

import (
	"context"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// faultRequests is the number of requests in the run with injected faults. The requirement is stated for 1,000,000.
var faultRequests = flag.Int("fault-requests", 8_000, "number of requests sent by TestAtMostOnce")

const (
	faultWorkers = 128
	faultSlots   = 64
	faultSeed    = 20261204
	// One in faultDivisor connections and requests has a fault.
	faultDivisor = 4
)

// faultRun sends requests of many clients through one dispatcher while faults are injected at every step.
type faultRun struct {
	*testing.T
	server     *standin.Server
	dispatcher *Dispatcher

	mu              sync.Mutex // mu protects the fields below
	random          *rand.Rand
	resultByRequest map[string]string
	resultCounts    map[string]int
}

// randomBelow returns a random number below n.
func (f *faultRun) randomBelow(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faultRun) dial(ctx context.Context) (net.Conn, error) {
	if f.randomBelow(20*faultDivisor) == 0 {
		return nil, errors.New("injected: connection refused")
	}
	conn, err := f.server.Dial(ctx)
	if err != nil || f.randomBelow(faultDivisor) != 0 {
		return conn, err
	}
	if f.randomBelow(2) == 0 {
		return standin.LimitBytes(conn, int64(f.randomBelow(4000)), standin.NoByteLimit), nil
	}
	return standin.LimitBytes(conn, standin.NoByteLimit, int64(f.randomBelow(8000))), nil
}

// chooseFault chooses the fault of the server for a request. It is not called for control calls.
func (f *faultRun) chooseFault(r *http.Request) standin.Fault {
	if f.randomBelow(faultDivisor) != 0 {
		return standin.FaultNone
	}
	return standin.Fault(f.randomBelow(standin.FaultCount))
}

// runClient sends requests, and retries failed ones with the same identity.
func (f *faultRun) runClient(worker, requests int) {
	for i := 0; i < requests; {
		identity := fmt.Sprintf("%d-%d", worker, i)
		for attempt := 0; attempt < 3 && i < requests; attempt++ {
			i++
			if f.send(uint64(worker)<<32|uint64(i), identity) {
				break
			}
		}
	}
}

// send sends one request and checks its response. It returns true if the response is complete.
func (f *faultRun) send(number uint64, identity string) bool {
	req := &backend.Request{
		Subscriber: "s", Method: "POST", Path: "/x", Key: identity, Identity: identity,
		Header: http.Header{"Idempotency-Key": {identity}}, Deadline: time.Now().Add(5 * time.Second),
	}
	binary.BigEndian.PutUint64(req.ID[:], number)
	if f.randomBelow(2) == 0 {
		req.Body, req.ContentLength = strings.NewReader("some body"), 9
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if f.randomBelow(5*faultDivisor) == 0 {
		time.AfterFunc(time.Duration(f.randomBelow(1000))*time.Microsecond, cancel)
	}
	result := f.execute(ctx, req)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resultCounts[result]++
	f.resultByRequest[req.ID.String()] = result
	return result == "complete"
}

func (f *faultRun) execute(ctx context.Context, req *backend.Request) string {
	response, err := f.dispatcher.Do(ctx, req)
	if err != nil {
		var problem *outcome.Problem
		if !errors.As(err, &problem) {
			f.Errorf("error is not a Problem: %v", err)
			return "unknown"
		}
		return problem.Outcome.String() + " " + string(problem.Kind)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut"
	}
	if response.Status == http.StatusOK && string(body) != "a "+req.ID.String() {
		f.Errorf("request %s got the response body %q", req.ID, body)
	}
	return "complete"
}

// resetHealth discards recorded failures. Otherwise the dispatcher would judge a server that fails this often to be
// down and send it nothing.
func (f *faultRun) resetHealth(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		f.dispatcher.mu.Lock()
		f.dispatcher.health = newHealthState()
		f.dispatcher.mu.Unlock()
		f.dispatcher.Wake()
	}
}

// injectServerFaults freezes the server, lets it shed load and closes its idle connections until stop is closed.
func (f *faultRun) injectServerFaults(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			f.server.Thaw()
			return
		case <-time.After(time.Duration(f.randomBelow(40)) * time.Millisecond):
		}
		switch f.randomBelow(12) {
		case 0:
			f.server.Freeze()
			time.Sleep(time.Duration(f.randomBelow(30)) * time.Millisecond)
			f.server.Thaw()
		case 1:
			f.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Shed = !s.Shed })
		default:
			f.server.CloseIdleConnections()
			f.server.ConfigureFaults(func(s *standin.FaultConfig) { s.Shed = false })
		}
	}
}

// violations counts violations of at-most-once execution. wronglyNotExecuted counts requests that were executed
// although they were reported as not executed.
type violations struct {
	executedTwice, wronglyNotExecuted, repeatedIdentities int
}

// runWithFaults sends requests through a dispatcher whose backend client is wrapped by wrap.
func runWithFaults(t *testing.T, requests int, wrap func(Backend) Backend) violations {
	f := &faultRun{
		T: t, random: rand.New(rand.NewPCG(faultSeed, 0)),
		resultByRequest: make(map[string]string), resultCounts: make(map[string]int),
	}
	f.server = standin.New(standin.Options{Name: "a", Slots: faultSlots, Fenced: true, SelectFault: f.chooseFault})
	defer f.server.Close()
	client := backend.New(backend.Options{Address: "a", Slots: faultSlots, Dial: f.dial})
	f.dispatcher = New(Config{
		Keyed: true, Fenced: true, Slots: faultSlots, Partitions: 1, MaxIdentities: requests,
		LeaseEnd: func() time.Time { return time.Now().Add(HomeLease) },
	}, wrap(client), backend.NewGrantClient(client))
	defer f.dispatcher.Close()
	f.dispatcher.Apply(Assignment{Owned: []OwnedScope{{Token: fence.Token{Generation: 1, Seq: 1}}}})
	stop := make(chan struct{})
	var injectors, clients sync.WaitGroup
	injectors.Go(func() { f.injectServerFaults(stop) })
	injectors.Go(func() { f.resetHealth(stop) })
	for worker := range faultWorkers {
		clients.Go(func() { f.runClient(worker, requests/faultWorkers) })
	}
	clients.Wait()
	close(stop)
	injectors.Wait()
	time.Sleep(DefaultMaxRunTime + MaxClockSkew) // abandoned requests may still be executed until then
	return f.countViolations()
}

func (f *faultRun) countViolations() violations {
	var total violations
	for id, result := range f.resultByRequest {
		runs := f.server.RequestExecutions(id)
		if runs > 1 {
			total.executedTwice++
		}
		if runs > 0 && strings.HasPrefix(result, "not-run") {
			total.wronglyNotExecuted++
			f.Logf("request %s was executed although its result is %s", id, result)
		}
		if runs == 0 && result == "complete" {
			f.Errorf("request %s has a complete response but was not executed", id)
		}
	}
	total.repeatedIdentities = f.server.RepeatedIdentities()
	f.Logf("%d requests, results %v, violations %+v, server %+v", len(f.resultByRequest), f.resultCounts, total, f.server.Counters())
	return total
}

// TestAtMostOnce guards against a request or a request identity that is executed twice, against a request that is
// executed although the client was told that it was not, and against responses that are truncated or belong to another
// request. Faults are injected at every step.
func TestAtMostOnce(t *testing.T) {
	total := runWithFaults(t, *faultRequests, func(b Backend) Backend { return b })
	if total != (violations{}) {
		t.Errorf("violations %+v", total)
	}
}

// brokenBackend either sends requests with an unknown outcome again or reports them as not executed.
type brokenBackend struct {
	Backend
	repeat bool
}

// Do sends the request and mishandles an unknown outcome.
func (b brokenBackend) Do(ctx context.Context, req *backend.Request) (*backend.Response, error) {
	response, err := b.Backend.Do(ctx, req)
	var problem *outcome.Problem
	if !errors.As(err, &problem) || problem.Outcome != outcome.Unknown {
		return response, err
	}
	if b.repeat {
		return b.Backend.Do(ctx, req)
	}
	problem.Outcome = outcome.NotExecuted
	return nil, problem
}

// TestAtMostOnceFindsFaults guards against a fault run that cannot fail: it must detect a client that repeats requests,
// and one that reports an unknown outcome as not executed.
func TestAtMostOnceFindsFaults(t *testing.T) {
	repeats := runWithFaults(t, 2000, func(b Backend) Backend { return brokenBackend{b, true} })
	if repeats.executedTwice == 0 {
		t.Errorf("repeated requests were not found: %+v", repeats)
	}
	misreported := runWithFaults(t, 2000, func(b Backend) Backend { return brokenBackend{b, false} })
	if misreported.wronglyNotExecuted == 0 || misreported.repeatedIdentities == 0 {
		t.Errorf("misreported outcomes were not found: %+v", misreported)
	}
}
