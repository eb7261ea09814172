package home

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// controlTimeout bounds one control call. A cycle with a failed withdrawal and a failed renewal ends before
// the second tick after its start.
const controlTimeout = 100 * time.Millisecond

// run makes the control calls and reports.
func (d *Dispatcher) run() {
	defer close(d.stopped)
	interval := ProbeInterval
	if d.config.Fenced {
		interval = RenewInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastLoad := time.Now()
	d.cycle(true)
	for {
		due := false
		select {
		case <-d.stop:
			return
		case <-d.kick:
		case <-ticker.C:
			due = true
		}
		d.cycle(due)
		now := time.Now()
		withLoad := now.Sub(lastLoad) >= LoadInterval
		if withLoad {
			lastLoad = now
		}
		d.config.OnReport(d.report(now, withLoad))
	}
}

// cycle withdraws, renews or probes, as the state wants it. due is true at a tick.
func (d *Dispatcher) cycle(due bool) {
	if d.config.Fenced {
		d.withdrawIdle()
	}
	set, dirty, probe := d.nextSet()
	switch {
	case probe:
		if due {
			d.probe()
		}
	case due || dirty:
		d.renew(set)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markReleased(now)
	d.recordHealth()
	if !now.Before(d.config.Lease()) {
		d.refuseAll(leaseEnded())
	}
	d.pump(now)
}

// recordHealth puts a changed judgement on the time line.
func (d *Dispatcher) recordHealth() {
	if d.health.judgement == d.judged {
		return
	}
	d.judged = d.health.judgement
	if d.judged == HealthDown && d.config.RequireNewTokenAfterDown {
		d.latch()
	}
	d.config.Log.Infof("Backend server %s of service %s is %s.", d.config.Server, d.config.Service, d.judged)
	d.config.Recorder.Record(timeline.Event{
		Kind:    timeline.Kind("home/server-" + string(d.judged)),
		Service: d.config.Service,
		Server:  d.config.Server,
	})
}

// latch keeps the owned scopes from being used under their present tokens.
func (d *Dispatcher) latch() {
	d.scopes(func(state *scopeState) {
		if state != d.whole {
			state.latched = true
			d.rehold(state, time.Now())
		}
	})
	d.setDirty = true
}

// nextSet returns the set of grants, whether it changed, and whether the server is only to be probed: a
// renewal that a lost server does not acknowledge would extend the wait for the end of its grants.
func (d *Dispatcher) nextSet() (set backend.GrantSet, dirty, probe bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.config.Fenced || !d.health.known || d.health.judgement == HealthDown || !now.Before(d.config.Lease()) {
		return backend.GrantSet{}, false, true
	}
	dirty = d.setDirty
	if dirty {
		d.rebuildSet(now)
	}
	return d.set, dirty, false
}

func (d *Dispatcher) rebuildSet(now time.Time) {
	d.setDirty = false
	d.set.Number++
	d.set.Grants = make([]backend.Grant, 0, len(d.set.Grants))
	d.scopes(func(state *scopeState) {
		if state != d.whole && state.wantsGrant(now) {
			d.set.Grants = append(d.set.Grants, backend.Grant{Scope: state.scope, Token: state.token})
		}
	})
}

// renew grants the set until the end of the lease.
func (d *Dispatcher) renew(set backend.GrantSet) {
	expires := d.noteGrants(set)
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	status, err := d.grantor.Renew(ctx, set, expires)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.probed(now, status.Health, err)
	if err != nil {
		return
	}
	d.grantedUntil = expires
	d.acknowledge(set, status.Stale, now)
}

// noteGrants records before the call that the server may have the grants until expires.
func (d *Dispatcher) noteGrants(set backend.GrantSet) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	expires := d.config.Lease()
	for _, grant := range set.Grants {
		if state := d.lookup(grant.Scope); state != nil {
			state.withdrawn = false
			if expires.After(state.grantEnd) {
				state.grantEnd = expires
			}
		}
	}
	return expires
}

// acknowledge lets the requests of granted scopes go.
func (d *Dispatcher) acknowledge(set backend.GrantSet, stale []backend.Scope, now time.Time) {
	refused := make(map[backend.Scope]bool, len(stale))
	for _, scope := range stale {
		refused[scope] = true
	}
	for _, grant := range set.Grants {
		state := d.lookup(grant.Scope)
		if state == nil || state.token != grant.Token || state.granted || refused[grant.Scope] {
			continue
		}
		state.granted = true
		d.rehold(state, now)
	}
}

// probe asks for the health of a server that gets no grants now.
func (d *Dispatcher) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	report, err := d.grantor.Probe(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	wasKnown := d.health.known
	d.health.probed(time.Now(), report, err)
	if d.health.known && !wasKnown {
		d.setDirty = true
		d.wakeControl()
	}
}
