package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
	"github.com/sapphireplank/sapphireplank/internal/zones"
)

const (
	testSlowStart     = 3 * time.Second
	testSlowStartRate = 2
)

// slowStartView returns a snapshot of a service whose servers start slowly.
func slowStartView(servers []directory.RegisteredServer) *snapshot.Snapshot {
	view := view(servers)
	view.Services["s"].SlowStart = routing.SlowStart{Period: testSlowStart, Rate: testSlowStartRate}
	return view
}

// placed returns how many of a number of requests are placed on a server at once.
func placed(t *testing.T, d *Dispatcher, requests int, id string) int {
	t.Helper()
	count := 0
	for range requests {
		reservation, err := d.Acquire(t.Context(), newRequest(d, 0))
		if err != nil {
			continue
		}
		if reservation.Server.ID == id {
			count++
		}
		d.Done(reservation, Result{})
	}
	return count
}

// Guards against more requests than its rate to a server that has just started, from the first one on, and against a limit
// that goes on after its slow start or without a rate.
func TestSlowStart(t *testing.T) {
	cases := []struct {
		name string
		view func(now time.Duration, server directory.RegisteredServer) *snapshot.Snapshot
		slow bool
	}{
		{"entry says that it starts", func(now time.Duration, server directory.RegisteredServer) *snapshot.Snapshot {
			server.WarmupUntil = now + testSlowStart
			return slowStartView([]directory.RegisteredServer{server})
		}, true},
		{"its zone was taken back", func(now time.Duration, server directory.RegisteredServer) *snapshot.Snapshot {
			view := slowStartView([]directory.RegisteredServer{server})
			view.Zones, view.ZonesVersion = zones.States{"z": {ReturnedAt: now}}, 1
			return view
		}, true},
		{"service without a rate", func(now time.Duration, server directory.RegisteredServer) *snapshot.Snapshot {
			server.WarmupUntil = now + testSlowStart
			return view([]directory.RegisteredServer{server})
		}, false},
		{"runs for long", func(_ time.Duration, server directory.RegisteredServer) *snapshot.Snapshot {
			return slowStartView([]directory.RegisteredServer{server})
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher()
				time.Sleep(time.Second)
				server := testServer("a")
				server.Zone = "z"
				d.Update(c.view(d.clock(), server))
				const requests = 20
				started := d.clock()
				count := placed(t, d, requests, "a")
				took := (d.clock() - started).Seconds()
				if limited := float64(count) <= 1+testSlowStartRate*took; limited != c.slow {
					t.Errorf("%d of %d requests placed in %v s, limited: want %v", count, requests, took, c.slow)
				}
				time.Sleep(testSlowStart)
				if count := placed(t, d, requests, "a"); count < requests {
					t.Errorf("%d of %d requests placed after the slow start", count, requests)
				}
			})
		})
	}
}

// Guards against requests that are refused because a server has just started although another one can run them, and against
// permits of the elected gateway that are not used.
func TestSlowStartPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		starting := testServer("a")
		starting.WarmupUntil = testSlowStart
		d.Update(slowStartView([]directory.RegisteredServer{starting, testServer("b")}))
		const requests = 10
		if count := placed(t, d, requests, "b"); count != requests {
			t.Errorf("%d of %d requests placed on the other server", count, requests)
		}
		d.Update(slowStartView([]directory.RegisteredServer{starting}))
		d.SetQuotas([]quota.Grant{{
			Server: relay.ServerHash(starting.Incarnation()), Kind: quota.KindSlowStart, Permits: 2,
			Statement: quota.Statement{Limited: true, Limit: testSlowStartRate},
		}})
		for range 2 {
			if _, err := d.Acquire(t.Context(), newRequest(d, 0)); err != nil {
				t.Errorf("request refused in spite of a permit: %v", err)
			}
		}
	})
}
