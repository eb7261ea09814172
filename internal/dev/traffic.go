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
	// requestTimeout is the timeout of the callers' requests.
	requestTimeout = 3 * time.Second
	// paceInterval is the interval at which due requests are started.
	paceInterval = 2 * time.Millisecond
	// heavyOutstanding bounds the requests of the heavy subscriber in progress.
	heavyOutstanding = 400
)

// Traffic sends the load of one deployment.
type Traffic struct {
	caller *Caller
	random *rand.Rand
	// probedKeys is the number of keys per service whose unavailable time is measured.
	probedKeys int
	wg         sync.WaitGroup
}

// NewTraffic returns traffic whose choices follow seed.
func NewTraffic(caller *Caller, seed uint64) *Traffic {
	return &Traffic{caller: caller, random: rand.New(rand.NewPCG(seed, 1)), probedKeys: probedKeys}
}

// Run sends the load until ctx ends, and waits for the last answers.
func (t *Traffic) Run(ctx context.Context, list []profile) {
	var sources sync.WaitGroup
	for _, p := range list {
		if p.service.Keyed && p.idempotent != nil {
			sources.Add(1)
			go func() {
				defer sources.Done()
				t.probe(ctx, p)
			}()
		}
		sources.Add(1)
		go func(random *rand.Rand) {
			defer sources.Done()
			t.pace(ctx, p.rate, func() { t.light(p, random) })
		}(rand.New(rand.NewPCG(t.random.Uint64(), 0)))
		if p.heavyRate > 0 {
			sources.Add(1)
			go func(random *rand.Rand) {
				defer sources.Done()
				t.heavy(ctx, p, random)
			}(rand.New(rand.NewPCG(t.random.Uint64(), 0)))
		}
	}
	sources.Wait()
	t.wg.Wait()
}

// pace calls start rate times a second on average, in an open loop: late answers do not slow it.
func (t *Traffic) pace(ctx context.Context, rate float64, start func()) {
	ticker := time.NewTicker(paceInterval)
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

func (t *Traffic) light(p profile, random *rand.Rand) {
	subscriber := "subscriber-" + strconv.Itoa(random.IntN(lightSubscribers))
	q := newCall(p, subscriber, random)
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.caller.Send(context.Background(), q)
	}()
}

// heavy offers its rate but keeps the number of its requests in progress bounded, as a client with a pool of
// connections does.
func (t *Traffic) heavy(ctx context.Context, p profile, random *rand.Rand) {
	tokens := make(chan struct{}, heavyOutstanding)
	t.pace(ctx, p.heavyRate, func() {
		select {
		case tokens <- struct{}{}:
		default:
			return
		}
		q := newCall(p, heavySubscriber, random)
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer func() { <-tokens }()
			t.caller.Send(context.Background(), q)
		}()
	})
}

func newCall(p profile, subscriber string, random *rand.Rand) call {
	q := call{
		service:    p.service.Name,
		key:        "key-" + strconv.Itoa(drawKey(p.service, random)),
		subscriber: subscriber,
		identity:   newIdentity(random, time.Now()),
		timeout:    requestTimeout,
	}
	useSingle := p.idempotent == nil || p.single != nil && random.IntN(4) == 0
	if useSingle {
		q.operation = *p.single
	} else {
		q.operation, q.idempotent = *p.idempotent, true
	}
	return q
}

// drawKey returns a key number. The first ones are far more popular than the rest.
func drawKey(s *config.Service, random *rand.Rand) int {
	if !s.Keyed {
		return random.IntN(keysPerService)
	}
	return int(rand.NewZipf(random, zipfExponent, 8, keysPerService-1).Uint64())
}
