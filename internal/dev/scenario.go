package dev

import (
	"context"
	"strconv"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

const (
	// The steps of a run, as parts of its duration.
	announceAt    = 0.05
	stopGatewayAt = 0.10
	loseGatewayAt = 0.45
	loseServerAt  = 0.70
	// stopLength is the announced length of the backend server's planned stop.
	stopLength = 10 * time.Minute
	// stopTimeout bounds the planned stop of the gateway.
	stopTimeout = 10 * time.Second
)

// failures are the planned stops and losses of one run.
type failures struct {
	Leaves  []LeaveCheck
	Stopped string
	// Calm is the time of the run in which there were only planned stops.
	Calm    interval
	StopErr error
	Gateway string
	Server  string
	before  *ownership
	after   *ownership
}

type interval struct {
	from, to time.Time
}

func (i interval) contains(t time.Time) bool { return !t.Before(i.from) && t.Before(i.to) }

// inject announces the stop of a backend server, stops a gateway as planned, then loses the holder of the first cell,
// which is also a home, and freezes a backend server for good.
func (d *Deployment) inject(ctx context.Context, start time.Time, duration time.Duration) failures {
	f := failures{Calm: interval{from: start}}
	at := func(share float64) bool { return waitUntil(ctx, start.Add(time.Duration(float64(duration)*share))) }
	at(announceAt)
	leaving := d.keyedServer(0)
	f.Leaves = append(f.Leaves, LeaveCheck{Server: leaving, At: time.Now()})
	f.StopErr = d.AnnounceStop(ctx, leaving, stopLength)
	at(stopGatewayAt)
	f.Stopped = d.holderOf(d.Config.Cells()[1])
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := d.StopGateway(stopCtx, f.Stopped); err != nil {
		f.StopErr = err
	}
	at(loseGatewayAt)
	f.Calm.to = time.Now()
	f.before = d.ownership()
	f.Gateway = d.holderOf(d.Config.Cells()[0])
	d.KillGateway(f.Gateway)
	at(loseServerAt)
	f.Server = d.keyedServer(-1)
	d.servers.byName[f.Server].Freeze()
	<-ctx.Done()
	f.after = d.ownership()
	return f
}

// keyedServer returns a server of the first service that is divided by key: the first one, or the last for -1.
func (d *Deployment) keyedServer(which int) string {
	for _, s := range d.Config.Services {
		if s.Keyed {
			return s.Servers[(which+len(s.Servers))%len(s.Servers)].Name
		}
	}
	return ""
}

// holderOf returns the holder of a cell, as its members know it.
func (d *Deployment) holderOf(cellName string) string {
	for _, host := range d.Config.CellHosts(cellName) {
		if n, ok := d.Node(host.Name); ok {
			if s := n.Gateway().View().Snapshot; s.Self {
				return host.Name
			}
		}
	}
	return ""
}

// ownership is the owner of each partition of each keyed service, over all cells.
type ownership struct {
	owners map[string][]string
	tokens map[string][]fence.Token
}

func (d *Deployment) ownership() *ownership {
	o := &ownership{owners: make(map[string][]string), tokens: make(map[string][]fence.Token)}
	for _, name := range d.Config.Cells() {
		if snapshot := d.snapshotOf(name); snapshot != nil {
			o.add(snapshot)
		}
	}
	return o
}

func (d *Deployment) snapshotOf(cellName string) *cell.Snapshot {
	for _, host := range d.Config.CellHosts(cellName) {
		if n, ok := d.Node(host.Name); ok {
			if view := n.Gateway().View(); view != nil {
				return view.Snapshot
			}
		}
	}
	return nil
}

func (o *ownership) add(s *cell.Snapshot) {
	for name, service := range s.Services {
		if o.owners[name] == nil {
			o.owners[name] = make([]string, len(service.Owners))
			o.tokens[name] = make([]fence.Token, len(service.Owners))
		}
		for p, owner := range service.Owners {
			if owner.Server != "" {
				o.owners[name][p] = owner.Server
				o.tokens[name][p] = owner.Token
			}
		}
	}
}

// checkSurvival verifies that every partition still has an owner, and that no assignment went back to an earlier one.
func checkSurvival(f failures) Promise {
	p := Promise{Name: "an acknowledged assignment survives the losses"}
	if f.before == nil || f.after == nil {
		return p
	}
	for name, tokens := range f.before.tokens {
		for i, token := range tokens {
			p.Checked++
			if f.after.owners[name][i] == "" || f.after.tokens[name][i].Less(token) {
				p.violate(name + " partition " + strconv.Itoa(i) + " had token " + token.String() + " and now " +
					f.after.tokens[name][i].String())
			}
		}
	}
	return p
}

// moved counts the partitions that changed their owner, and those whose old owner is the lost server.
func (o *ownership) moved(later *ownership, lost string) (moved, least int) {
	for name, owners := range o.owners {
		for p, owner := range owners {
			if owner == lost {
				least++
			}
			if later.owners[name][p] != owner {
				moved++
			}
		}
	}
	return moved, least
}

// waitUntil waits and returns false if ctx ended first.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
