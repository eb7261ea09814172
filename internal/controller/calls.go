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

// releaseTimeout bounds a release order, in which the backend server waits for its running requests to end.
const releaseTimeout = 2 * time.Second

// recordRetryDelay is the delay after a failed write of a table. The store may reject the calls of this gateway for a
// while, and each call is billed.
const recordRetryDelay = 150 * time.Millisecond

// renewTimeout bounds a renewal of the lease, so that the other gateways learn early that this one lost the store.
const renewTimeout = 700 * time.Millisecond

// startElectionCall executes a store call of the election in a goroutine of its own.
func (c *Controller) startElectionCall(ctx context.Context, call election.Call, started time.Duration) {
	go func() {
		if call.Kind == election.CallRenew {
			ctx, cancel := context.WithTimeout(ctx, renewTimeout)
			defer cancel()
			era, err := c.Store.RenewLease(ctx, call.Lease)
			c.enqueue(func() { c.leaseRenewed(era, err, started) })
			return
		}
		if call.Kind == election.CallReclaim {
			result, err := c.reclaim(ctx, call)
			c.enqueue(func() { c.reclaimDone(result, err, started) })
			return
		}
		if call.Kind == election.CallWithdraw {
			err := c.withdraw(ctx, call.Revision)
			c.enqueue(func() { c.withdrawalDone(call.Revision, err) })
			return
		}
		result, err := c.campaign(ctx, call.Value)
		c.enqueue(func() { c.campaignDone(result, err, started) })
	}()
}

func (c *Controller) leaseRenewed(era kv.Era, err error, started time.Duration) {
	c.observeCallEra(era)
	wasActing := c.election.Acting()
	c.election.RenewalDone(era, err, started)
	if err != nil {
		c.Log.WithError(err).Info("failed to renew the election lease")
	} else {
		c.broadcasts.lastStoreContact = c.Clock()
	}
	c.electionChanged(wasActing)
}

// withdraw removes the record of an earlier process on this host, so that the others need not wait for its lease.
func (c *Controller) withdraw(ctx context.Context, revision kv.Revision) error {
	_, err := c.Store.Commit(ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: election.Key, Revision: revision}},
		Deletes:    []string{election.Key},
	})
	return err
}

func (c *Controller) withdrawalDone(revision kv.Revision, err error) {
	c.election.WithdrawalDone()
	log := c.Log.WithField("term", revision)
	if err != nil {
		log.WithError(err).Info("failed to withdraw the record of an earlier process on this host; it will expire")
		return
	}
	log.Info("withdrew the record of an earlier process on this host")
}

func (c *Controller) campaignDone(result election.CampaignResult, err error, started time.Duration) {
	if err == nil {
		c.observeCallEra(result.Term.Era)
	}
	c.election.CampaignDone(result, err, started, boottime.Now())
	if err != nil {
		c.Log.WithError(err).Info("campaign failed")
		return
	}
	c.Log.WithFields(logrus.Fields{"term": result.Term}).Info("elected")
}

// campaign records this gateway as the elected one under a new lease, if no gateway is elected.
func (c *Controller) campaign(ctx context.Context, value []byte) (election.CampaignResult, error) {
	lease, err := c.Store.GrantLease(ctx, c.Election.TTL)
	if err != nil {
		return election.CampaignResult{}, err
	}
	return c.writeRecord(ctx, lease, value)
}

// writeRecord writes the record of this gateway under a lease if there is no record. If the outcome of the write is
// unknown, it reads the record to find out.
func (c *Controller) writeRecord(ctx context.Context, lease kv.LeaseID, value []byte) (election.CampaignResult, error) {
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

// writeTable records an ownership table on the condition that this gateway is still elected and that the recorded table
// is still the one that this gateway knows.
func (c *Controller) writeTable(ctx context.Context, service string, a *assignment, value []byte, sequence uint64) {
	key := tableKeyPrefix + service
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
			c.enqueue(func() { c.tableRecorded(a, kv.Item{Key: key, Value: value, Revision: revision}, sequence) })
			return
		}
		// The write may have been executed, or may still be. The next write is conditional on the revision that the store
		// has now, so at most one of the two takes effect from here on.
		item, readErr := c.Store.Get(ctx, key)
		c.enqueue(func() { c.tableNotRecorded(service, a, item, err, readErr) })
	}()
}

// tableRecorded updates the state after a table was recorded. It sends the change to the other gateways at once, rather
// than when the watch of this gateway returns it.
func (c *Controller) tableRecorded(a *assignment, item kv.Item, sequence uint64) {
	a.writing = false
	c.observeCallEra(item.Revision.Era)
	if item.Revision.Era != c.election.Era() || item.Revision.Era != c.asOf.Era {
		// The write is part of a history that is lost, or this gateway has not read the new one yet.
		return
	}
	a.revision = item.Revision
	a.assigner.MarkRecorded(sequence)
	service := strings.TrimPrefix(item.Key, tableKeyPrefix)
	before, base := c.tables[service], c.items[item.Key].Revision
	if before == nil || base.IsZero() {
		c.applyUpdate(mirror.Update{Events: []kv.Event{{Item: item}}})
		return
	}
	c.items[item.Key] = item
	c.broadcasts.fullUpdate = nil
	c.applyItem(item)
	c.dirty = true
	delta := c.tables[service].Delta(before)
	delta.Service, delta.Base, delta.Revision = service, base.Number, item.Revision.Number
	c.broadcast(&wire.RelayDown{Tables: []*wire.OwnershipDelta{delta}})
}

func (c *Controller) tableNotRecorded(service string, a *assignment, item kv.Item, err, readErr error) {
	a.writing = false
	a.recordRetryAt = boottime.Now() + recordRetryDelay
	c.Log.WithError(err).WithField("service", service).Info("failed to record ownership table; retrying")
	switch {
	case readErr == nil:
		c.observeCallEra(item.Revision.Era)
		a.revision = item.Revision
	case errors.Is(readErr, kv.ErrNotFound):
		a.revision = kv.Revision{}
	default:
		c.Log.WithError(readErr).Info("failed to read ownership table after a failed write")
	}
}

// sendOrder sends an order to a backend server and passes the result to the assigner.
func (c *Controller) sendOrder(ctx context.Context, service string, order ownership.Order) {
	a := c.assigners[service]
	order.Grant.ConnectBefore = c.election.ConfirmedUntil()
	go func() {
		result := c.executeOrder(ctx, order)
		c.enqueue(func() {
			if c.assigners[service] != a {
				return
			}
			if errors.Is(result.Err, ownership.ErrRejected) && c.addressReused(order.Receiver()) {
				result.Err = errors.WithSecondaryError(ownership.ErrServerReplaced, result.Err)
			}
			if result.Err != nil {
				c.logOrderFailure(service, result)
			}
			c.observeAnswer(result)
			a.assigner.HandleResult(result)
		})
	}()
}

// addressReused reports whether another backend server is registered with the address of a holder.
func (c *Controller) addressReused(holder ownership.Holder) bool {
	for _, server := range c.directory.Servers() {
		if server.Addr == holder.Addr && server.ID != holder.ID {
			return true
		}
	}
	return false
}

func (c *Controller) executeOrder(ctx context.Context, order ownership.Order) ownership.Result {
	timeout := c.Ownership.OrderTimeout
	if order.Kind == ownership.OrderRelease {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := ownership.Result{Order: order}
	if order.Kind == ownership.OrderRelease {
		result.Answer, result.Err = c.Orders.Release(ctx, order.Release)
	} else {
		result.Answer, result.Err = c.Orders.Grant(ctx, order.Grant)
	}
	result.At = boottime.Now()
	c.Metrics.CountOrder(orderNames[order.Kind], result.Err)
	return result
}

// orderNames are the names of orders in metrics and logs.
var orderNames = map[ownership.OrderKind]string{
	ownership.OrderGrant: "grant", ownership.OrderRelease: "release", ownership.OrderFence: "fence",
}

func (c *Controller) logOrderFailure(service string, result ownership.Result) {
	keys, token := result.Order.Grant.Keys, result.Order.Grant.Token
	if result.Order.Kind == ownership.OrderRelease {
		keys, token = result.Order.Release.Keys, result.Order.Release.Token
	}
	c.Log.WithError(result.Err).WithFields(logrus.Fields{
		"service": service, "order": orderNames[result.Order.Kind], "server": result.Order.Receiver().ID, "keys": keys, "token": token,
	}).Info("order failed")
}
