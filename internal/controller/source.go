package controller

import (
	"context"
	"maps"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/mirror"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

const (
	// watchWait is how long a watch of the store waits. A connection may go silent, and a configuration has to be in
	// force within 2 s all the same.
	watchWait = time.Second
	// relayTimeout is how long the elected gateway may be silent, or out of contact with the store, before this
	// gateway follows the store itself.
	relayTimeout = 700 * time.Millisecond
	// redialAfter is the pause after a connection to the elected gateway has ended.
	redialAfter = 400 * time.Millisecond
	// worksEvery is the number of reports after which run times are reported.
	worksEvery = 20
)

// source is where this gateway learns what the store holds: from the store, or from the elected gateway.
type source struct {
	// stopMirror ends the mirror of the store; nil if there is none.
	stopMirror context.CancelFunc
	// stopRelay ends the connection to the elected gateway; nil if there is none.
	stopRelay context.CancelFunc
	relayAddr string
	redialAt  time.Duration
	// complete is true once the elected gateway has sent all that the store holds.
	complete bool
	freshAt  time.Duration
	// session counts connections, so that messages of an earlier one are left out.
	session int
	// loads are the requests of all gateways at each backend server; nil until the elected gateway has sent them.
	loads map[uint32]int
}

// chooseSource keeps a connection to the elected gateway, and follows the store while that is of no use.
func (c *Controller) chooseSource(ctx context.Context) {
	now := c.Clock()
	c.followLeader(ctx, now)
	relayed := c.source.complete && now-c.source.freshAt < relayTimeout
	leading := c.election.State() == election.StateLeading
	if c.source.stopMirror != nil && relayed && !leading {
		c.source.stopMirror()
		c.source.stopMirror = nil
	}
	if c.source.stopMirror == nil && (!relayed || leading) {
		c.startMirror(ctx)
	}
}

// startMirror follows the store from the revision that is known.
func (c *Controller) startMirror(ctx context.Context) {
	ctx, c.source.stopMirror = context.WithCancel(ctx)
	deliver := func(ctx context.Context, update mirror.Update) {
		c.do(func() {
			if ctx.Err() == nil {
				c.follow(update)
			}
		})
	}
	go mirror.New(c.Store, watchWait, deliver).Run(ctx, c.asOf)
}

// followLeader connects to the elected gateway if it is another one.
func (c *Controller) followLeader(ctx context.Context, now time.Duration) {
	leader, known := c.election.Leader()
	addr := ""
	if known && leader.Host != c.Host {
		addr = leader.Addr
	}
	s := &c.source
	if addr != s.relayAddr {
		if s.stopRelay != nil {
			s.stopRelay()
			s.stopRelay = nil
		}
		s.relayAddr, s.complete, s.redialAt = addr, false, now
	}
	if addr == "" || s.stopRelay != nil || now < s.redialAt {
		return
	}
	s.session++
	s.loads = nil
	session := s.session
	ctx, s.stopRelay = context.WithCancel(ctx)
	client := &relay.Client{
		Host:    c.Host,
		Dialer:  c.Dialer,
		Collect: c.collector(),
		Receive: func(down *wire.RelayDown) { c.do(func() { c.relayed(session, down) }) },
	}
	go func() {
		err := client.Run(ctx, addr)
		c.do(func() { c.relayEnded(session, err) })
	}()
}

// relayEnded follows the store again after the connection to the elected gateway has ended.
func (c *Controller) relayEnded(session int, err error) {
	if session != c.source.session {
		return
	}
	c.source.stopRelay = nil
	c.source.complete = false
	c.source.redialAt = c.Clock() + redialAfter
	c.Log.WithError(err).WithField("addr", c.source.relayAddr).Info("connection to the elected gateway ended")
}

// relayed takes a message of the elected gateway.
func (c *Controller) relayed(session int, down *wire.RelayDown) {
	if session != c.source.session {
		return
	}
	now := c.Clock()
	switch {
	case down.Fresh:
		c.source.freshAt = now
	case down.Gateways > 0:
		// A heartbeat that says that the sender has lost the store.
		c.source.freshAt = now - relayTimeout
	}
	if down.Gateways > 0 && c.gateways.note(int(down.Gateways), now) {
		c.dirty = true
	}
	if down.ReportMs > 0 {
		c.reportInterval.Store(int64(time.Duration(down.ReportMs) * time.Millisecond))
	}
	c.relayedLoads(down)
	if len(down.Works) > 0 {
		c.DataPlane.SetRunTimes(relay.DecodeRunTimes(down.Works))
	}
	update := mirror.Update{Full: down.Full, AsOf: kv.Revision(down.AsOf)}
	for _, item := range down.Items {
		event := relay.DecodeEvent(item)
		if down.Full {
			update.Items = append(update.Items, event.Item)
			continue
		}
		update.Events = append(update.Events, event)
	}
	if down.Full {
		c.source.complete = true
	}
	if !c.source.complete {
		return
	}
	c.follow(update)
	for _, delta := range down.Tables {
		c.patchTable(delta)
	}
}

// relayedLoads takes the requests of all gateways at each backend server. A heartbeat says that they have not changed.
func (c *Controller) relayedLoads(down *wire.RelayDown) {
	switch {
	case down.HasLoad:
		c.source.loads = relay.DecodeLoads(down.Load)
	case c.source.loads == nil:
		return
	case down.LoadChanged:
		relay.ApplyLoadChanges(c.source.loads, relay.DecodeLoads(down.Load))
	case !down.Fresh:
		return
	}
	c.DataPlane.SetLoads(c.source.loads)
}

// patchTable brings an ownership table up to date. If changes were missed, everything is asked for again.
func (c *Controller) patchTable(delta *wire.OwnershipDelta) {
	key := prefixTables + delta.Service
	item, table := c.items[key], c.tables[delta.Service]
	if kv.Revision(delta.Revision) <= item.Revision {
		return
	}
	if table == nil || kv.Revision(delta.Base) != item.Revision {
		c.Log.WithField("service", delta.Service).Info("change of an ownership table was missed; asking for all of it")
		c.source.stopRelay()
		return
	}
	patched, err := table.Patch(delta)
	if err != nil {
		c.Log.WithError(err).Warning("change of an ownership table cannot be used; asking for all of it")
		c.source.stopRelay()
		return
	}
	// The value is encoded if this gateway is elected and passes it on. It then reads what it goes on from, with the former
	// holders, from the store.
	c.items[key] = kv.Item{Key: key, Revision: kv.Revision(delta.Revision), Created: item.Created}
	c.tables[delta.Service] = patched
	c.dirty = true
}

// collector returns a function that returns what there is to report to the elected gateway.
func (c *Controller) collector() func() *wire.RelayUp {
	var last map[uint32]int
	var next time.Duration
	count := 0
	return func() *wire.RelayUp {
		now := c.Clock()
		if now < next {
			return nil
		}
		next = now + time.Duration(c.reportInterval.Load()) - relay.ReportPollInterval/2
		up := &wire.RelayUp{}
		up.Keys, up.Refused = c.reports.take()
		if loads := c.DataPlane.Loads(); last == nil || !maps.Equal(loads, last) {
			last = loads
			up.HasLoad, up.Load = true, relay.EncodeLoads(loads)
		}
		due := count%worksEvery == 0
		if due {
			up.Works = relay.EncodeRunTimes(c.DataPlane.RunTimes())
		}
		count++
		if len(up.Keys) == 0 && len(up.Refused) == 0 && !up.HasLoad && !due {
			return nil
		}
		return up
	}
}
