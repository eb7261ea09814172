package dev

import (
	"context"
	"strconv"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

const (
	// The times of the steps of a run, as fractions of its duration.
	announceStopAt = 0.05
	stopGatewayAt  = 0.10
	killGatewayAt  = 0.45
	freezeServerAt = 0.70
	// announcedStopDuration is the announced length of the planned stop of the backend server.
	announcedStopDuration = 10 * time.Minute
	// stopGatewayTimeout limits the time of the planned stop of the gateway.
	stopGatewayTimeout = 10 * time.Second
)

// disruptions describes the planned stops and injected failures of one run.
type disruptions struct {
	Drains         []Drain
	StoppedGateway string
	// FaultFree is the interval of the run without failures; it can have planned stops.
	FaultFree       interval
	StopErr         error
	KilledGateway   string
	FrozenServer    string
	ownershipBefore *ownership
	ownershipAfter  *ownership
}

type interval struct {
	from, to time.Time
}

func (i interval) contains(t time.Time) bool { return !t.Before(i.from) && t.Before(i.to) }

// injectDisruptions announces the stop of a backend server and performs a planned stop of a gateway. Later it kills the
// holder of the first cell, which is also a home, and freezes a backend server permanently.
func (d *Deployment) injectDisruptions(ctx context.Context, start time.Time, duration time.Duration) disruptions {
	f := disruptions{FaultFree: interval{from: start}}
	waitFor := func(fraction float64) bool {
		return waitUntil(ctx, start.Add(time.Duration(float64(duration)*fraction)))
	}
	waitFor(announceStopAt)
	draining := d.keyedServerAt(0)
	f.Drains = append(f.Drains, Drain{Server: draining, At: time.Now()})
	f.StopErr = d.AnnounceStop(ctx, draining, announcedStopDuration)
	waitFor(stopGatewayAt)
	f.StoppedGateway = d.cellHolder(d.Config.Cells()[1])
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopGatewayTimeout)
	defer cancel()
	if err := d.StopGateway(stopCtx, f.StoppedGateway); err != nil {
		f.StopErr = err
	}
	waitFor(killGatewayAt)
	f.FaultFree.to = time.Now()
	f.ownershipBefore = d.currentOwnership()
	f.KilledGateway = d.cellHolder(d.Config.Cells()[0])
	d.KillGateway(f.KilledGateway)
	waitFor(freezeServerAt)
	f.FrozenServer = d.keyedServerAt(-1)
	d.servers.byName[f.FrozenServer].Freeze()
	<-ctx.Done()
	f.ownershipAfter = d.currentOwnership()
	return f
}

// keyedServerAt returns a backend server of the first sharded service: the one at index, or the last for -1.
func (d *Deployment) keyedServerAt(index int) string {
	for _, s := range d.Config.Services {
		if s.Keyed {
			return s.Servers[(index+len(s.Servers))%len(s.Servers)].Name
		}
	}
	return ""
}

// cellHolder returns the host whose gateway considers itself the holder of a cell, or "" if there is none.
func (d *Deployment) cellHolder(cellName string) string {
	for _, host := range d.Config.CellHosts(cellName) {
		if n, ok := d.Node(host.Name); ok {
			if s := n.Gateway().RoutingTable().Snapshot; s.IsHolder {
				return host.Name
			}
		}
	}
	return ""
}

// ownership holds the owner and fencing token of each partition of each sharded service, by service name.
type ownership struct {
	owners map[string][]string
	tokens map[string][]fence.Token
}

func (d *Deployment) currentOwnership() *ownership {
	o := &ownership{owners: make(map[string][]string), tokens: make(map[string][]fence.Token)}
	for _, name := range d.Config.Cells() {
		if snapshot := d.cellSnapshot(name); snapshot != nil {
			o.add(snapshot)
		}
	}
	return o
}

func (d *Deployment) cellSnapshot(cellName string) *cell.Snapshot {
	for _, host := range d.Config.CellHosts(cellName) {
		if n, ok := d.Node(host.Name); ok {
			if table := n.Gateway().RoutingTable(); table != nil {
				return table.Snapshot
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

// checkAssignmentsPreserved verifies that every partition still has an owner and that no fencing token decreased.
func checkAssignmentsPreserved(f disruptions) Invariant {
	result := Invariant{Name: "an acknowledged assignment survives the losses"}
	if f.ownershipBefore == nil || f.ownershipAfter == nil {
		return result
	}
	for name, tokens := range f.ownershipBefore.tokens {
		for i, token := range tokens {
			result.Checked++
			if f.ownershipAfter.owners[name][i] == "" || f.ownershipAfter.tokens[name][i].Less(token) {
				result.addViolation(name + " partition " + strconv.Itoa(i) + " had token " + token.String() + " before and now has " +
					f.ownershipAfter.tokens[name][i].String())
			}
		}
	}
	return result
}

// countMoved returns the number of partitions that changed their owner, and the least possible number: those of the
// lost server.
func (o *ownership) countMoved(later *ownership, lost string) (moved, minMoved int) {
	for name, owners := range o.owners {
		for p, owner := range owners {
			if owner == lost {
				minMoved++
			}
			if later.owners[name][p] != owner {
				moved++
			}
		}
	}
	return moved, minMoved
}

// waitUntil returns true at t, or false when ctx ends first.
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
