package dev

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
)

const (
	// balancerLag is the time after which the balancer stops sending callers to a lost gateway.
	balancerLag = 500 * time.Millisecond
	// loseGatewayAt and loseServerAt are parts of the duration of a run.
	loseGatewayAt = 0.35
	loseServerAt  = 0.65
)

// failures are the losses of one run.
type failures struct {
	Gateway   string
	GatewayAt time.Time
	Server    string
	ServerAt  time.Time
	before    *ownership
	after     *ownership
}

// inject loses the holder of the first cell, which is also a home, and later freezes a backend server for good.
func (d *Deployment) inject(ctx context.Context, duration time.Duration) failures {
	f := failures{}
	if !wait(ctx, time.Duration(float64(duration)*loseGatewayAt)) {
		return f
	}
	f.before = d.ownership()
	f.Gateway = d.holderOf(d.Config.Cells()[0])
	f.GatewayAt = time.Now()
	d.loseGateway(f.Gateway)
	if !wait(ctx, time.Duration(float64(duration)*(loseServerAt-loseGatewayAt))) {
		return f
	}
	f.Server = d.keyedServer()
	f.ServerAt = time.Now()
	d.servers.byName[f.Server].Freeze()
	<-ctx.Done()
	f.after = d.ownership()
	return f
}

// keyedServer returns the last server of the first service that is divided by key.
func (d *Deployment) keyedServer() string {
	for _, s := range d.Config.Services {
		if s.Keyed {
			return s.Servers[len(s.Servers)-1].Name
		}
	}
	return d.Config.Services[0].Servers[0].Name
}

func (d *Deployment) loseGateway(name string) {
	host, ok := d.Config.Host(name)
	if !ok {
		return
	}
	d.KillGateway(name)
	time.AfterFunc(balancerLag, func() { d.Balancer.Remove(host.CallerAddress) })
}

// holderOf returns the holder of a cell, as its members know it.
func (d *Deployment) holderOf(cellName string) string {
	for _, host := range d.Config.CellHosts(cellName) {
		if n, ok := d.nodes[host.Name]; ok {
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
}

func (d *Deployment) ownership() *ownership {
	o := &ownership{owners: make(map[string][]string)}
	for _, name := range d.Config.Cells() {
		if snapshot := d.snapshotOf(name); snapshot != nil {
			o.add(snapshot)
		}
	}
	return o
}

func (d *Deployment) snapshotOf(cellName string) *cell.Snapshot {
	for _, host := range d.Config.CellHosts(cellName) {
		if n, ok := d.nodes[host.Name]; ok {
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
		}
		for p, owner := range service.Owners {
			if owner.Server != "" {
				o.owners[name][p] = owner.Server
			}
		}
	}
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

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
