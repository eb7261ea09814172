package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// startTime is how long the deployment gets to settle before the disruption.
	startTime = 10 * time.Second
	// deadTime is how long the upstream is down between its two lives.
	deadTime = 500 * time.Millisecond
	// lateBy is how much later than its call the store carries out the last report of the first life; the pages name 1 to
	// 6 s.
	lateBy = 4 * time.Second
)

const keyedConfig = `{"version":"r%d","routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],` +
	`"rows":[["r-status","orders.example","/status/","safe",1200,200,2,null,2,"tracker"]%s]},` +
	`"services":{"columns":["name","healthPath","maxConns","sharded","warmupS"],"rows":[["tracker","/healthz",120,true,5]]},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

var errNotServing = errors.New("the deployment does not serve")

func statusCall(random *rand.Rand) call {
	return call{id: newID(), method: http.MethodGet, path: "/status/1", key: random.IntN(platform.KeyCount), deadline: 1200 * time.Millisecond}
}

// keyed starts three gateways before four upstreams that hold keys, with clients.
func (w *world) keyed(ctx context.Context, seen func(outcome)) (*upstream, error) {
	w.configure(fmt.Sprintf(keyedConfig, 3, ""))
	var first *upstream
	for i := range 4 {
		u, err := w.startUpstream(&upstream{
			id: fmt.Sprintf("i-%04d", i+1), service: "tracker", zone: zone(i), slots: 3, sharded: true, work: 30 * time.Millisecond,
		}, "")
		if err != nil {
			return nil, err
		}
		if first == nil {
			first = u
		}
	}
	if err := w.startGateways(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	w.traffic(ctx, 9, 60*time.Millisecond, statusCall, seen)
	return first, nil
}

// restartWithLateReport ends a life of an upstream whose last report to the store got no answer, starts it again under its
// id at an address, and lets the store carry out that report late.
func (w *world) restartWithLateReport(u *upstream, addr string) (*upstream, error) {
	key := platform.ServersPrefix + u.id
	late := u.report()
	w.record.say("%s reports to the store; the call gets no answer and is carried out %v later", u.id, lateBy)
	called := time.Now()
	time.Sleep(100 * time.Millisecond)
	w.record.say("%s crashes", u.id)
	u.crash()
	time.Sleep(deadTime)
	next, err := w.startUpstream(&upstream{
		id: u.id, service: u.service, zone: u.zone, slots: u.slots, sharded: u.sharded, work: u.work,
	}, addr)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(called.Add(lateBy)))
	w.record.say("the store carries out the late report of %s, born %d; %s, born %d, holds %d ranges", u.id, u.born, u.id, next.born, len(next.held(time.Now())))
	w.put(key, late)
	return next, nil
}

// lateEntryOwner: a report of an earlier life is carried out late. The upstream has another address since.
func lateEntryOwner(w *world, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u, err := w.keyed(ctx, func(outcome) {})
	if err != nil {
		return false, err
	}
	time.Sleep(startTime)
	if len(u.held(time.Now())) == 0 {
		return false, errNotServing
	}
	watch, stop := context.WithCancel(context.Background())
	defer stop()
	worst := make(chan *overlap, 1)
	go func() { worst <- w.watchOwners(watch) }()
	if trouble {
		if _, err := w.restartWithLateReport(u, ""); err != nil {
			return false, err
		}
	} else {
		time.Sleep(lateBy)
	}
	time.Sleep(10 * time.Second)
	stop()
	o := <-worst
	if o == nil {
		w.record.say("no two upstreams held the same keys")
		return false, nil
	}
	length := o.last.Sub(o.since)
	w.record.say("%s and %s, both up, held keys %d-%d (and perhaps more) at the same time for %v; bound %v", o.a, o.b, o.from, o.to, length, overlapBound)
	return length > overlapBound, nil
}

// lateEntryHang: a report of an earlier life is carried out late. The upstream has the address that it had.
func lateEntryHang(w *world, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	u, err := w.keyed(ctx, func(outcome) {})
	if err != nil {
		return false, err
	}
	time.Sleep(startTime)
	leader := w.leader()
	if leader == nil || len(u.held(time.Now())) == 0 {
		return false, errNotServing
	}
	w.record.say("elected: %s", leader.name)
	if trouble {
		if _, err := w.restartWithLateReport(u, u.addr); err != nil {
			return false, err
		}
	} else {
		time.Sleep(lateBy)
	}
	// contactMs is 3 s: from then on all machines are in touch, and the store is stable.
	time.Sleep(8 * time.Second)
	w.configure(fmt.Sprintf(keyedConfig, 4, `,["r-new","orders.example","/new/","safe",1200,200,2,null,2,"tracker"]`))
	// configApplyMs is 2 s.
	time.Sleep(4 * time.Second)
	broken := false
	for _, g := range w.gateways {
		before, since := g.cpu(), time.Now()
		refused := 0
		for range 20 {
			c := &client{world: w, addr: g.front}
			o := c.send(call{id: newID(), method: http.MethodGet, path: "/new/1", key: 5, deadline: 1200 * time.Millisecond})
			c.close()
			if o.status == http.StatusNotFound {
				refused++
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.record.say("%s answers 404 to %d of 20 requests on a route that was confirmed 4 s earlier or more (configApplyMs 2 s); it used %.2f cores",
			g.name, refused, (g.cpu()-before).Seconds()/time.Since(since).Seconds())
		broken = broken || refused > 0
	}
	return broken, nil
}
