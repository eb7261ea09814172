package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The requests are those of fee-charge in the grown installation: 770 ms of work, an objective of 2 s, a deadline of 12 s.
const feeConfig = `{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],` +
	`"rows":[["r-fee","orders.example","/fee/","unsafe",12000,2000,1,null,2,"feeledger"]]},` +
	`"services":{"columns":["name","healthPath","maxConns","sharded","warmupS"],"rows":[["feeledger","/healthz",510,null,null]]},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// stopQueue: a machine gets SIGTERM while the upstreams are busy and requests wait for room.
func stopQueue(w *world, trouble bool) (bool, error) {
	const (
		feeDeadline = 12 * time.Second
		feeWork     = 770 * time.Millisecond
		feeClients  = 176
		grace       = 6 * time.Second
		lossSlack   = 200 * time.Millisecond
	)
	w.configure(feeConfig)
	for i := range 2 {
		u := &upstream{id: fmt.Sprintf("i-%04d", i+1), service: "feeledger", zone: zone(i), slots: 6, queue: 24, work: feeWork}
		if _, err := w.startUpstream(u, ""); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(4); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	type attempt struct {
		outcome
		gateway     string
		sent, ended time.Time
	}
	var mu sync.Mutex
	var attempts []attempt
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.checkReadiness(ctx)
	var group sync.WaitGroup
	for i := range feeClients {
		group.Go(func() {
			random := rand.New(rand.NewPCG(7, uint64(i)))
			home := w.gateways[i%len(w.gateways)]
			g := home
			c := &client{world: w, addr: g.front}
			defer c.close()
			for ctx.Err() == nil {
				a := attempt{gateway: g.name, sent: time.Now()}
				a.outcome = c.send(call{id: newID(), method: http.MethodPost, path: "/fee/1", body: "fee", key: -1, deadline: feeDeadline})
				a.ended = time.Now()
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				next := home
				if a.status != http.StatusOK {
					// A retry goes to another machine, over a new connection.
					time.Sleep(300*time.Millisecond + time.Duration(random.Int64N(int64(300*time.Millisecond))))
					next = w.gateways[random.IntN(len(w.gateways))]
				}
				if next != g {
					c.close()
				}
				for c.conn == nil && next.outOfRotation.Load() {
					next = w.gateways[random.IntN(len(w.gateways))]
				}
				if c.conn == nil {
					g, c.addr = next, next.front
				}
			}
		})
	}
	time.Sleep(12 * time.Second)
	stopped := w.gateways[0]
	term := time.Now()
	if trouble {
		w.record.say("%s gets SIGTERM", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(grace + time.Second)
	cancel()
	group.Wait()
	served, lost := 0, 0
	for _, a := range attempts {
		if a.status == http.StatusOK {
			served++
		}
		if a.gateway != stopped.name || a.err == nil || a.ended.Before(term) || a.ended.Sub(a.sent) >= feeDeadline || a.ended.Sub(a.sent) < lossSlack {
			continue
		}
		if w.hasArrived(a.id) {
			w.record.say("%s ends without an answer while an upstream has it: sent %v after the SIGTERM; not counted", a.id, a.sent.Sub(term).Round(time.Millisecond))
			continue
		}
		lost++
		w.record.say("LOST: %s, sent %v after the SIGTERM, ended without an answer %v later; no upstream had it, %v of its time were left",
			a.id, a.sent.Sub(term).Round(time.Millisecond), a.ended.Sub(a.sent).Round(time.Millisecond), (feeDeadline - a.ended.Sub(a.sent)).Round(time.Millisecond))
	}
	w.record.say("%d attempts, %d served, %d lost at %s", len(attempts), served, lost, stopped.name)
	if served == 0 {
		return false, errors.New("nothing was served")
	}
	return lost > 0, nil
}
