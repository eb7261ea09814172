package dev

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// probeSubscriber is the subscriber of the requests that measure unavailable time.
const probeSubscriber = "prober"

const (
	// defaultProbedKeys is the default number of keys per service whose unavailable time is measured.
	defaultProbedKeys = 24
	// probeInterval is the interval between two requests for one key. It determines the resolution of unavailable time.
	probeInterval = 100 * time.Millisecond
)

// runProber sends an idempotent request for each probed key every probeInterval until ctx ends.
func (t *Traffic) runProber(ctx context.Context, p profile) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range t.probedKeys {
		req := request{
			service:    p.service.Name,
			key:        "probe-" + strconv.Itoa(i),
			subscriber: probeSubscriber,
			operation:  *p.idempotent,
			idempotent: true,
			timeout:    requestTimeout,
		}
		t.pending.Add(1)
		go func(random *rand.Rand) {
			defer t.pending.Done()
			t.probeKey(ctx, req, random)
		}(rand.New(rand.NewPCG(random.Uint64(), 0)))
	}
	<-ctx.Done()
}

func (t *Traffic) probeKey(ctx context.Context, req request, random *rand.Rand) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		req.identity = newIdentity(random, time.Now())
		t.pending.Add(1)
		go func(req request) {
			defer t.pending.Done()
			t.client.Send(context.Background(), req)
		}(req)
	}
}
