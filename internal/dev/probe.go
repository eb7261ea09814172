package dev

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// probeSubscriber sends the requests that measure unavailable time.
const probeSubscriber = "prober"

const (
	// probedKeys is the default number of keys per service whose unavailable time is measured.
	probedKeys = 24
	// probeInterval is the interval between two requests for one key, and so the resolution of unavailable time.
	probeInterval = 100 * time.Millisecond
)

// probe sends one idempotent request per interval for each of a set of keys.
func (t *Traffic) probe(ctx context.Context, p profile) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range t.probedKeys {
		q := call{
			service:    p.service.Name,
			key:        "probe-" + strconv.Itoa(i),
			subscriber: probeSubscriber,
			operation:  *p.idempotent,
			idempotent: true,
			timeout:    requestTimeout,
		}
		t.wg.Add(1)
		go func(random *rand.Rand) {
			defer t.wg.Done()
			t.probeKey(ctx, q, random)
		}(rand.New(rand.NewPCG(random.Uint64(), 0)))
	}
	<-ctx.Done()
}

func (t *Traffic) probeKey(ctx context.Context, q call, random *rand.Rand) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q.identity = newIdentity(random, time.Now())
		t.wg.Add(1)
		go func(q call) {
			defer t.wg.Done()
			t.caller.Send(context.Background(), q)
		}(q)
	}
}
