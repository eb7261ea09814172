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

const bookConfig = `{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],` +
	`"rows":[["r-issue","orders.example","/issue/","unsafe",1000,150,0,null,2,"tracker"]]},` +
	`"services":{"columns":["name","healthPath","maxConns","sharded","warmupS"],"rows":[["tracker","/healthz",120,true,5]]},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// extraRefusal: upstreams refuse part of the requests, and send a small part of their answers a second time, late.
func extraRefusal(w *world, trouble bool) (bool, error) {
	// The doses are the largest that the site file names: srv_grey with "shed all", x 0.55 for 8.5 s, and garble with
	// "extra late", share 0.6 and x 0.03 for 5 s.
	const (
		shedShare  = 0.55
		extraShare = 0.03
		length     = 8 * time.Second
		extraFor   = 5 * time.Second
		upstreams  = 5
		// garbling is the number of upstreams that send extra answers.
		garbling = 3
	)
	w.configure(bookConfig)
	var mu sync.Mutex
	shedding, extras := false, false
	random := rand.New(rand.NewPCG(2, 3))
	garbles := make(map[string]bool)
	answers := func(_, upstream string) answerKind {
		mu.Lock()
		defer mu.Unlock()
		refused, twice := shedding && random.Float64() < shedShare, extras && garbles[upstream] && random.Float64() < extraShare
		switch {
		case refused && twice:
			return shedTwice
		case refused:
			return shed
		case twice:
			return runTwice
		}
		return runIt
	}
	for i := range upstreams {
		u := &upstream{
			id: fmt.Sprintf("i-%04d", i+1), service: "tracker", zone: zone(i), slots: 3, sharded: true, work: 20 * time.Millisecond, answers: answers,
		}
		garbles[u.id] = i < garbling
		if _, err := w.startUpstream(u, ""); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var outcomes []outcome
	var seen sync.Mutex
	served := 0
	group := w.traffic(ctx, 24, 40*time.Millisecond, func(random *rand.Rand) call {
		return call{id: newID(), method: http.MethodPut, path: "/issue/1", body: "certificate", key: random.IntN(platform.KeyCount), deadline: time.Second}
	}, func(o outcome) {
		seen.Lock()
		defer seen.Unlock()
		outcomes = append(outcomes, o)
		if o.status == http.StatusOK {
			served++
		}
	})
	time.Sleep(5 * time.Second)
	set := func(shed, extra bool) {
		mu.Lock()
		defer mu.Unlock()
		shedding, extras = shed, extra
	}
	if trouble {
		w.record.say("the upstreams refuse %.2f of the requests; %d of %d send %.2f of their answers a second time, late", shedShare, garbling, upstreams, extraShare)
		set(true, true)
		time.Sleep(extraFor)
		set(true, false)
		time.Sleep(length - extraFor)
		set(false, false)
		w.record.say("upstreams are sound again")
	} else {
		time.Sleep(length)
	}
	time.Sleep(3 * time.Second)
	cancel()
	group.Wait()
	time.Sleep(time.Second)
	if served == 0 {
		return false, errors.New("nothing was served")
	}
	refusedAndRan, twice := 0, 0
	for _, o := range outcomes {
		runs := w.runsOf(o.id)
		promise := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests ||
			o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest
		if promise && runs > 0 {
			refusedAndRan++
			w.record.say("REFUSED: %s was answered %d and ran %d times", o.id, o.status, runs)
		}
		if runs > 1 {
			twice++
			w.record.say("TWICE: %s ran %d times", o.id, runs)
		}
	}
	w.record.say("%d requests, %d served; %d were answered with the promise not to have run and ran; %d ran more than once", len(outcomes), served, refusedAndRan, twice)
	return refusedAndRan+twice > 0, nil
}
