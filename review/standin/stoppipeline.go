package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/platform"
)

// The requests are those of draft-lookup in the grown installation: 590 ms of work on average, 4,400 ms at most, a deadline of
// 10 s.
const draftConfig = `{"version":"r3","routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],` +
	`"rows":[["r-draft","orders.example","/draft/","safe",10000,1500,2,null,2,"draftdesk"]]},` +
	`"services":{"columns":["name","healthPath","maxConns","sharded","warmupS"],"rows":[["draftdesk","/healthz",510,null,null]]},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// stopPipeline: a machine gets SIGTERM while clients have several requests on one connection, the first of which takes long.
func stopPipeline(w *world, trouble bool) (bool, error) {
	const (
		draftDeadline = 10 * time.Second
		longest       = 4400 * time.Millisecond
		mean          = 590 * time.Millisecond
		grace         = 6 * time.Second
		pipelined     = 3
		conns         = 4
		// inTransit is how long before the end of the connection an upstream must have answered.
		inTransit = 200 * time.Millisecond
		// sentAfter is when the requests are sent, counted from the SIGTERM. Requests count that are sent within 3 s of it.
		sentAfter = 1500 * time.Millisecond
	)
	w.configure(draftConfig)
	for i := range 4 {
		u := &upstream{id: fmt.Sprintf("i-%04d", i+1), service: "draftdesk", zone: zone(i), slots: 6, workOf: func(path string) time.Duration {
			if path == "/draft/long" {
				return longest
			}
			return mean
		}}
		if _, err := w.startUpstream(u, ""); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.checkReadiness(ctx)
	stopped := w.gateways[0]
	type answered struct {
		id     string
		status int
		ended  time.Duration
		at     time.Time
		err    error
	}
	var mu sync.Mutex
	var results []answered
	var group sync.WaitGroup
	begin := make(chan time.Time)
	for range conns {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp4", stopped.front, time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			_ = conn.SetDeadline(time.Now().Add(time.Minute))
			exchange := func(paths ...string) {
				var ids []string
				sent := time.Now()
				for _, path := range paths {
					id := newID()
					ids = append(ids, id)
					w.record.add("client sends %s GET %s to %s", id, path, stopped.name)
					_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, clientHost,
						platform.HeaderRequestID, id, platform.HeaderDeadline, draftDeadline.Milliseconds())
				}
				for _, id := range ids {
					response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
					a := answered{id: id, err: err}
					if err == nil {
						_, a.err = io.Copy(io.Discard, response.Body)
						a.status = response.StatusCode
					}
					a.ended, a.at = time.Since(sent), time.Now()
					w.record.add("client gets %d for %s after %v: %v", a.status, id, a.ended.Round(time.Millisecond), a.err)
					mu.Lock()
					results = append(results, a)
					mu.Unlock()
				}
			}
			exchange("/draft/short")
			time.Sleep(time.Until(<-begin))
			paths := []string{"/draft/long"}
			for range pipelined - 1 {
				paths = append(paths, "/draft/short")
			}
			exchange(paths...)
		})
	}
	time.Sleep(3 * time.Second)
	at := time.Now().Add(sentAfter)
	if trouble {
		w.record.say("%s gets SIGTERM", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	for range conns {
		begin <- at
	}
	time.Sleep(grace + time.Second)
	cancel()
	group.Wait()
	served, lost := 0, 0
	for _, a := range results {
		if a.status == http.StatusOK {
			served++
		}
		if a.err == nil || a.ended >= draftDeadline {
			continue
		}
		if !w.endedBefore(a.id, a.at.Add(-inTransit)) {
			w.record.say("%s ends without an answer %v after it was sent, while its upstream works on it; not counted", a.id, a.ended.Round(time.Millisecond))
			continue
		}
		lost++
		w.record.say("LOST: %s ends without an answer %v after it was sent; its upstream had answered it with 200", a.id, a.ended.Round(time.Millisecond))
	}
	w.record.say("%d requests, %d served, %d lost at %s", len(results), served, lost, stopped.name)
	if served == 0 {
		return false, errors.New("nothing was served")
	}
	return lost > 0, nil
}
