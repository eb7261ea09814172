package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/platform"
)

const pickupConfig = `{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],` +
	`"rows":[["r-pickup","orders.example","/pickup/","unsafe",800,250,1,null,2,"dispatch"]]},` +
	`"services":{"columns":["name","healthPath","maxConns","sharded","warmupS"],"rows":[["dispatch","/healthz",120,null,null]]},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// lateReady: the last report of an upstream before it drains is carried out late, after that of its draining.
func lateReady(w *world, trouble bool) (bool, error) {
	const (
		drain = 2 * time.Second
		// late is how much later the store carries out the report; the pages name 1 to 6 s.
		late = 5 * time.Second
		// servesFor is how long the upstream serves on after the store has accepted its draining: drainMs and a little longer.
		servesFor = 5200 * time.Millisecond
	)
	w.configure(pickupConfig)
	var leaving *upstream
	for i := range 4 {
		u, err := w.startUpstream(&upstream{id: fmt.Sprintf("i-%04d", i+1), service: "dispatch", zone: zone(i), slots: 3, work: 78 * time.Millisecond}, "")
		if err != nil {
			return false, err
		}
		leaving = u
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var outcomes []outcome
	group := w.traffic(ctx, 18, 30*time.Millisecond, func(*rand.Rand) call {
		return call{id: newID(), method: http.MethodPost, path: "/pickup/1", body: "booking", key: -1, deadline: 1500 * time.Millisecond}
	}, func(o outcome) {
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, o)
	})
	time.Sleep(5 * time.Second)
	key := platform.ServersPrefix + leaving.id
	report := leaving.report()
	called := time.Now()
	if trouble {
		w.record.say("%s reports ready; the call gets no answer and is carried out %v later: %s", leaving.id, late, report)
	}
	time.Sleep(300 * time.Millisecond)
	leaving.mu.Lock()
	leaving.state = platform.StateDraining
	leaving.mu.Unlock()
	draining := leaving.report()
	w.put(key, draining)
	accepted := time.Now()
	w.record.say("the store accepts that %s is draining: %s", leaving.id, draining)
	leaving.mu.Lock()
	leaving.drainedAt = accepted.Add(drain)
	leaving.mu.Unlock()
	if trouble {
		time.Sleep(time.Until(called.Add(late)))
		w.record.say("the store carries out the late report of %s", leaving.id)
		w.put(key, report)
	}
	time.Sleep(time.Until(accepted.Add(servesFor)))
	leaving.mu.Lock()
	working := leaving.running[-1]
	leaving.mu.Unlock()
	w.record.say("%s exits, %d requests are at work there", leaving.id, working)
	leaving.crash()
	w.remove(key)
	time.Sleep(3 * time.Second)
	cancel()
	group.Wait()
	failed := 0
	for _, o := range outcomes {
		if o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout || o.status == 0 {
			failed++
			w.record.say("%s ran %d times and was answered %d", o.id, w.runsOf(o.id), o.status)
		}
	}
	leaving.mu.Lock()
	reached := leaving.reachedLate
	leaving.mu.Unlock()
	w.record.say("%d requests; %d reached %s later than drainMs (%v) after the store had accepted that it was draining; %d failed", len(outcomes), reached, leaving.id, drain, failed)
	if len(outcomes) == 0 {
		return false, errors.New("nothing was sent")
	}
	return reached > 0, nil
}
