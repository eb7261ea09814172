package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

const (
	// registrationTTL is how long a gateway counts after it has ended without a word.
	registrationTTL = 10 * time.Second
	// registrationKeep is the time between two renewals.
	registrationKeep = 3 * time.Second
	// registrationRetry is the time until a failed call is repeated.
	registrationRetry = 700 * time.Millisecond
)

// registration is the entry of this gateway in the store, by which the others know how many share the limits.
type registration struct {
	lease   kv.LeaseID
	calling bool
	next    time.Duration
}

// lost notes that the entry has ended.
func (r *registration) lost() {
	r.lease = 0
	r.next = 0
}

// registerStep writes or renews the entry when it is due.
func (c *Controller) registerStep(ctx context.Context, now time.Duration) {
	r := &c.register
	if r.calling || now < r.next {
		return
	}
	r.calling = true
	lease := r.lease
	go func() {
		var err error
		if lease == 0 {
			lease, err = c.writeRegistration(ctx)
		} else {
			err = c.Store.KeepLease(ctx, lease)
		}
		c.do(func() { c.registered(lease, err, now) })
	}()
}

func (c *Controller) writeRegistration(ctx context.Context) (kv.LeaseID, error) {
	lease, err := c.Store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	_, err = c.Store.Commit(ctx, kv.Txn{
		Puts: []kv.Put{{Key: prefixGateways + c.Host, Value: []byte(c.Addr), Lease: lease}},
	})
	return lease, err
}

func (c *Controller) registered(lease kv.LeaseID, err error, now time.Duration) {
	r := &c.register
	r.calling = false
	switch {
	case err == nil:
		r.lease = lease
		r.next = now + registrationKeep
	case errors.Is(err, kv.ErrLeaseNotFound):
		r.lost()
	default:
		r.next = now + registrationRetry
		c.Log.WithError(err).Info("registration of this gateway not written; trying again")
	}
}
