package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// greyShare is the share of the requests that one of eight upstreams runs and fails for greyTime: no more than srv_grey has
	// in the site file (share 0.14, x = 0.55, 6.5 s).
	greyShare = 0.55
	greyTime  = 6 * time.Second
)

// failedRun lets one upstream run part of its requests and fail them with status 503, without saying that they were not run.
func failedRun(e *environment) ([]string, error) {
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	defer st.server.Close()
	if err := st.put(platform.ConfigKey, uploadConfig); err != nil {
		return nil, err
	}
	var grey atomic.Bool
	var mu sync.Mutex
	ran := make(map[string]string)
	for i := range 8 {
		id := fmt.Sprintf("i-%02d", i)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get(platform.HeaderRequestID)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			mu.Lock()
			ran[attempt] = id
			mu.Unlock()
			time.Sleep(85 * time.Millisecond)
			w.Header().Set(platform.HeaderRequestID, attempt)
			w.Header().Set(platform.HeaderSignature, "seal-"+attempt)
			if i == 0 && grey.Load() && rand.Float64() < greyShare {
				e.logf("%s: ran %s and fails it with 503, without Not-Executed", id, attempt)
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})}
		go func() { _ = server.Serve(listener) }()
		if err := st.register(id, "wardlink", listener.Addr().String(), 6, time.Now().UnixMilli(), 1); err != nil {
			return nil, err
		}
	}
	g, err := e.newGateway("edge-1", st.addr)
	if err != nil {
		return nil, err
	}
	defer g.kill()
	if err := g.start(); err != nil {
		return nil, err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	var broken []string
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for c := range 40 {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				// A client sends an order again only after a promise, each time as a new attempt.
				for try := range 3 {
					id := fmt.Sprintf("order-%d-%d.%d", c, n, try)
					answer, err := send(g.front, id, []byte("filing"), 0)
					if err != nil || !strings.Contains(answer, " 503 ") {
						break
					}
					mu.Lock()
					if server := ran[id]; server != "" {
						e.logf("client: %s is answered %q, so the order is sent again", id, answer)
						broken = append(broken, fmt.Sprintf("REFUSED: %s was answered 503 and has run at %s", id, server))
					}
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	e.logf("the disruption begins")
	grey.Store(e.trouble)
	time.Sleep(greyTime)
	grey.Store(false)
	e.logf("the disruption ends")
	time.Sleep(time.Second)
	cancel()
	clients.Wait()
	return broken, nil
}
