package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/relay"
)

// nameLimit sends a request to a server, whose response names a limit.
func nameLimit(t *testing.T, d *Dispatcher, limit float64) {
	t.Helper()
	reservation, err := d.Acquire(t.Context(), newRequest(d, 0))
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	d.Done(reservation, Result{Responded: true, RateLimit: limit, HasRateLimit: true})
}

// Guards against a request that is queued for an owner that cannot admit it in time, and one that is refused although
// another server can run it.
func TestLimitedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		d.Update(view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", false)))
		nameLimit(t, d, 2)
		if _, err := d.Acquire(t.Context(), newRequest(d, 0)); reason(err) != ReasonLimited {
			t.Fatalf("%v, want %q", err, ReasonLimited)
		}
		if d.LimitedServers() != 1 {
			t.Fatalf("%d limited servers, want 1", d.LimitedServers())
		}
		time.Sleep(time.Second)
		if _, err := d.Acquire(t.Context(), newRequest(d, 0)); err != nil {
			t.Fatalf("request was refused within the limit: %v", err)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		d.Update(view([]directory.RegisteredServer{testServer("a")}))
		nameLimit(t, d, 2)
		d.Update(view([]directory.RegisteredServer{testServer("a"), testServer("b")}))
		for range 4 {
			reservation, err := d.Acquire(t.Context(), newRequest(d, 0))
			if err != nil || reservation.Server.ID != "b" {
				t.Fatalf("reservation %+v, error %v", reservation, err)
			}
		}
	})
}

// Guards against a queued request that is not sent when a permit arrives, and a permit that is lost with a request that
// was not sent.
func TestPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		d.Update(view([]directory.RegisteredServer{testServer("a")}, ownedRow("a", false)))
		nameLimit(t, d, 2)
		hash := relay.ServerHash(testServer("a").Incarnation())
		grant := quota.Grant{Server: hash, Statement: quota.Statement{Limited: true, Limit: 2, At: d.clock()}}
		d.SetQuotas([]quota.Grant{grant})
		placed := make(chan *Reservation)
		go func() {
			reservation, err := d.Acquire(t.Context(), newRequest(d, 0))
			if err != nil {
				t.Errorf("request was refused although a permit comes soon: %v", err)
			}
			placed <- reservation
		}()
		synctest.Wait()
		if reports := d.QuotaReports(); len(reports) != 1 || reports[0].Usage.Waiting != (quota.Waiting{1}) || reports[0].Usage.Wanted != 1 {
			t.Fatalf("reports %+v, want one with a waiting request", reports)
		}
		grant.Permits = 1
		d.SetQuotas([]quota.Grant{grant})
		d.Done(<-placed, Result{NotSent: true})
		if reports := d.QuotaReports(); len(reports) != 1 || reports[0].Usage != (quota.Usage{Returned: 1}) {
			t.Fatalf("reports %+v, want one with a returned permit", reports)
		}
	})
}
