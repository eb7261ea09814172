package controller

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/mirror"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// releaseTimeout bounds the wait for running requests to end at a backend server that releases keys.
const releaseTimeout = 2 * time.Second

// recordPause is the pause after a table could not be recorded: the store may turn this gateway away for a while, and
// each call is paid for.
const recordPause = 150 * time.Millisecond

// keepTimeout bounds a renewal of the lease: the others learn soon that this gateway lost the store.
const keepTimeout = 700 * time.Millisecond

// electionCall does a call of the election.
func (c *Controller) electionCall(ctx context.Context, call election.Call, started time.Duration) {
	go func() {
		if call.Kind == election.CallRenew {
			ctx, cancel := context.WithTimeout(ctx, keepTimeout)
			defer cancel()
			err := c.Store.RenewLease(ctx, call.Lease)
			c.do(func() { c.kept(err, started) })
			return
		}
		won, err := c.campaign(ctx, call.Value)
		c.do(func() { c.campaigned(won, err, started) })
	}()
}

func (c *Controller) kept(err error, started time.Duration) {
	before := c.election.State()
	c.election.RenewalDone(err, started)
	if err != nil {
		c.Log.WithError(err).Info("lease of the elected gateway not renewed")
	} else {
		c.beats.contact = c.Clock()
	}
	c.noteElection(before)
}

func (c *Controller) campaigned(won election.CampaignResult, err error, started time.Duration) {
	c.election.CampaignDone(won, err, started, boottime.Now())
	if err != nil {
		c.Log.WithError(err).Info("not elected")
		return
	}
	c.Log.WithFields(logrus.Fields{"term": won.Term}).Info("elected")
}

// campaign records this gateway as the elected one, if there is none.
func (c *Controller) campaign(ctx context.Context, value []byte) (election.CampaignResult, error) {
	lease, err := c.Store.GrantLease(ctx, c.Election.TTL)
	if err != nil {
		return election.CampaignResult{}, err
	}
	revision, err := c.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: election.Key}},
		Puts:       []kv.Put{{Key: election.Key, Value: value, Lease: lease}},
	})
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		item, readErr := c.Store.Get(ctx, election.Key)
		if readErr == nil && item.Lease == lease {
			return election.CampaignResult{Term: item.Created, Lease: lease}, nil
		}
	}
	return election.CampaignResult{Term: revision, Lease: lease}, err
}

// writeTable records an ownership table, under the condition that this gateway is still elected and that the table
// is the one that it knows.
func (c *Controller) writeTable(ctx context.Context, service string, a *assignment, value []byte, sequence uint64) {
	key := prefixTables + service
	txn := kv.Txn{
		Conditions: []kv.Condition{
			{Key: election.Key, Revision: c.election.Term()},
			{Key: key, Revision: a.revision},
		},
		Puts: []kv.Put{{Key: key, Value: value}},
	}
	go func() {
		revision, err := c.Store.Commit(ctx, txn)
		if err == nil {
			c.do(func() { c.recorded(a, kv.Item{Key: key, Value: value, Revision: revision}, sequence) })
			return
		}
		// The write may have been executed, or may be later: the next one is made under the revision that the store
		// has now, so at most one of the two takes effect after it.
		item, readErr := c.Store.Get(ctx, key)
		c.do(func() { c.notRecorded(service, a, item, err, readErr) })
	}()
}

// recorded goes on from a recorded table. The others learn it at once rather than by the watch of this gateway.
func (c *Controller) recorded(a *assignment, item kv.Item, sequence uint64) {
	a.writing = false
	a.revision = item.Revision
	a.assigner.MarkRecorded(sequence)
	service := strings.TrimPrefix(item.Key, prefixTables)
	before, base := c.tables[service], c.items[item.Key].Revision
	if before == nil || base == 0 {
		c.follow(mirror.Update{Events: []kv.Event{{Item: item}}})
		return
	}
	c.items[item.Key] = item
	c.beats.full = nil
	c.followItem(item)
	c.dirty = true
	delta := c.tables[service].Delta(before)
	delta.Service, delta.Base, delta.Revision = service, int64(base), int64(item.Revision)
	c.broadcast(&wire.RelayDown{Tables: []*wire.OwnershipDelta{delta}})
}

func (c *Controller) notRecorded(service string, a *assignment, item kv.Item, err, readErr error) {
	a.writing = false
	a.recordAfter = boottime.Now() + recordPause
	c.Log.WithError(err).WithField("service", service).Info("ownership table not recorded; trying again")
	switch {
	case readErr == nil:
		a.revision = item.Revision
	case errors.Is(readErr, kv.ErrNotFound):
		a.revision = 0
	default:
		c.Log.WithError(readErr).Info("ownership table not read")
	}
}

// sendOrder sends an order to a backend server.
func (c *Controller) sendOrder(ctx context.Context, service string, order ownership.Order) {
	a := c.assigners[service]
	go func() {
		result := c.execute(ctx, order)
		c.do(func() {
			if c.assigners[service] != a {
				return
			}
			if result.Err != nil {
				c.logOrder(service, result)
			}
			a.assigner.HandleResult(result)
		})
	}()
}

func (c *Controller) execute(ctx context.Context, order ownership.Order) ownership.Result {
	limit := c.Ownership.OrderTimeout
	if order.Kind == ownership.OrderRelease {
		limit = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result := ownership.Result{Order: order}
	if order.Kind == ownership.OrderRelease {
		result.Handover, result.Err = c.Orders.Release(ctx, order.Release)
	} else {
		result.Err = c.Orders.Grant(ctx, order.Grant)
	}
	result.At = boottime.Now()
	c.Metrics.CountOrder(orderNames[order.Kind], result.Err)
	return result
}

// orderNames are the names of orders in metrics and logs.
var orderNames = map[ownership.OrderKind]string{
	ownership.OrderGrant: "grant", ownership.OrderRelease: "release", ownership.OrderFence: "fence",
}

func (c *Controller) logOrder(service string, result ownership.Result) {
	server, keys, token := result.Order.Grant.Server, result.Order.Grant.Keys, result.Order.Grant.Token
	if result.Order.Kind == ownership.OrderRelease {
		server, keys, token = result.Order.Release.Server, result.Order.Release.Keys, result.Order.Release.Token
	}
	c.Log.WithError(result.Err).WithFields(logrus.Fields{
		"service": service, "order": orderNames[result.Order.Kind], "server": server.ID, "keys": keys, "token": token,
	}).Info("order failed")
}
