package dev

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

const (
	// requestTimeout is the timeout that clients state in their requests.
	requestTimeout = 3 * time.Second
	// openLoopInterval is the interval at which runOpenLoop starts the requests that are due.
	openLoopInterval = 2 * time.Millisecond
	// maxHeavyInFlight limits the number of requests of the heavy subscriber in progress, per service.
	maxHeavyInFlight = 400
)

// Traffic generates the load on one deployment.
type Traffic struct {
	client *Client
	random *rand.Rand
	// probedKeys is the number of keys per service whose unavailable time is measured.
	probedKeys int
	pending    sync.WaitGroup
}

// NewTraffic returns a load generator whose random choices are derived from seed.
func NewTraffic(client *Client, seed uint64) *Traffic {
	return &Traffic{client: client, random: rand.New(rand.NewPCG(seed, 1)), probedKeys: defaultProbedKeys}
}

// Run sends the load until ctx ends and waits for the pending responses.
func (t *Traffic) Run(ctx context.Context, profiles []profile) {
	var sources sync.WaitGroup
	for _, p := range profiles {
		if p.service.Keyed && p.idempotent != nil {
			sources.Add(1)
			go func() {
				defer sources.Done()
				t.runProber(ctx, p)
			}()
		}
		sources.Add(1)
		go func(random *rand.Rand) {
			defer sources.Done()
			t.runOpenLoop(ctx, p.rate, func() { t.sendLight(p, random) })
		}(rand.New(rand.NewPCG(t.random.Uint64(), 0)))
		if p.heavyRate > 0 {
			sources.Add(1)
			go func(random *rand.Rand) {
				defer sources.Done()
				t.runHeavy(ctx, p, random)
			}(rand.New(rand.NewPCG(t.random.Uint64(), 0)))
		}
	}
	sources.Wait()
	t.pending.Wait()
}

// runOpenLoop calls start, on average rate times per second, until ctx ends. Slow responses do not reduce the rate
// (open loop).
func (t *Traffic) runOpenLoop(ctx context.Context, rate float64, start func()) {
	ticker := time.NewTicker(openLoopInterval)
	defer ticker.Stop()
	begin, sent := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		due := int(time.Since(begin).Seconds() * rate)
		for ; sent < due; sent++ {
			start()
		}
	}
}

func (t *Traffic) sendLight(p profile, random *rand.Rand) {
	subscriber := "subscriber-" + strconv.Itoa(random.IntN(lightSubscribers))
	req := newRequest(p, subscriber, random)
	t.pending.Add(1)
	go func() {
		defer t.pending.Done()
		t.client.Send(context.Background(), req)
	}()
}

// runHeavy sends the requests of the heavy subscriber at its rate, but skips those that would exceed maxHeavyInFlight,
// like a client with a connection pool of that size.
func (t *Traffic) runHeavy(ctx context.Context, p profile, random *rand.Rand) {
	inFlight := make(chan struct{}, maxHeavyInFlight)
	t.runOpenLoop(ctx, p.heavyRate, func() {
		select {
		case inFlight <- struct{}{}:
		default:
			return
		}
		req := newRequest(p, heavySubscriber, random)
		t.pending.Add(1)
		go func() {
			defer t.pending.Done()
			defer func() { <-inFlight }()
			t.client.Send(context.Background(), req)
		}()
	})
}

func newRequest(p profile, subscriber string, random *rand.Rand) request {
	req := request{
		service:    p.service.Name,
		key:        "key-" + strconv.Itoa(sampleKey(p.service, random)),
		subscriber: subscriber,
		identity:   newIdentity(random, time.Now()),
		timeout:    requestTimeout,
	}
	useNonIdempotent := p.idempotent == nil || p.nonIdempotent != nil && random.IntN(4) == 0
	if useNonIdempotent {
		req.operation = *p.nonIdempotent
	} else {
		req.operation, req.idempotent = *p.idempotent, true
	}
	return req
}

// sampleKey returns a random key number, Zipf-distributed for sharded services and uniform for others.
func sampleKey(s *config.Service, random *rand.Rand) int {
	if !s.Keyed {
		return random.IntN(keysPerService)
	}
	return int(rand.NewZipf(random, zipfExponent, 8, keysPerService-1).Uint64())
}
