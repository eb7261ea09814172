package home

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// controlTimeout limits one control call. A cycle in which the withdrawal and the renewal time out still ends before
// the second tick after its start.
const controlTimeout = 100 * time.Millisecond

// runControl makes the control calls and sends reports.
func (d *Dispatcher) runControl() {
	defer close(d.stopped)
	interval := ProbeInterval
	if d.config.Fenced {
		interval = RenewInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastLoad := time.Now()
	d.controlCycle(true)
	for {
		tick := false
		select {
		case <-d.stop:
			return
		case <-d.cycleRequested:
		case <-ticker.C:
			tick = true
		}
		d.controlCycle(tick)
		now := time.Now()
		withLoad := now.Sub(lastLoad) >= LoadInterval
		if withLoad {
			lastLoad = now
		}
		d.config.OnReport(d.buildReport(now, withLoad))
	}
}

// controlCycle withdraws grants, then renews the grants or probes the server. tick is true if the interval has elapsed;
// otherwise the cycle was requested by requestCycle.
func (d *Dispatcher) controlCycle(tick bool) {
	if d.config.Fenced {
		d.withdrawGrants()
	}
	set, changed, probeOnly := d.nextGrantSet()
	switch {
	case probeOnly:
		if tick {
			d.probeServer()
		}
	case tick || changed:
		d.renewGrants(set)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markReleased(now)
	d.recordHealth()
	if !now.Before(d.config.LeaseEnd()) {
		d.refuseAllWaiting(leaseEnded())
	}
	d.startWaiting(now)
}

// recordHealth logs a change of health and records it on the time line.
func (d *Dispatcher) recordHealth() {
	if d.health.status == d.recordedHealth {
		return
	}
	d.recordedHealth = d.health.status
	if d.recordedHealth == HealthDown && d.config.RequireNewTokenAfterDown {
		d.requireNewTokens()
	}
	d.config.Log.Infof("Backend server %s of service %s is %s.", d.config.Server, d.config.Service, d.recordedHealth)
	d.config.Recorder.Record(timeline.Event{
		Kind:    timeline.Kind("home/server-" + string(d.recordedHealth)),
		Service: d.config.Service,
		Server:  d.config.Server,
	})
}

// requireNewTokens stops the use of the owned scopes under their current tokens.
func (d *Dispatcher) requireNewTokens() {
	d.forEachScope(func(state *scopeState) {
		if state != d.unkeyedScope {
			state.needsNewToken = true
			d.requeueWaiting(state, time.Now())
		}
	})
	d.grantSetDirty = true
}

// nextGrantSet returns the set of grants, whether it changed, and whether the server must only be probed. A lost server
// gets no renewals, because each one, even if it is not acknowledged, extends the wait for the expiry of the grants.
func (d *Dispatcher) nextGrantSet() (set backend.GrantSet, changed, probeOnly bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.config.Fenced || !d.health.contacted || d.health.status == HealthDown || !now.Before(d.config.LeaseEnd()) {
		return backend.GrantSet{}, false, true
	}
	changed = d.grantSetDirty
	if changed {
		d.rebuildGrantSet(now)
	}
	return d.grantSet, changed, false
}

func (d *Dispatcher) rebuildGrantSet(now time.Time) {
	d.grantSetDirty = false
	d.grantSet.Number++
	d.grantSet.Grants = make([]backend.Grant, 0, len(d.grantSet.Grants))
	d.forEachScope(func(state *scopeState) {
		if state != d.unkeyedScope && state.needsGrant(now) {
			d.grantSet.Grants = append(d.grantSet.Grants, backend.Grant{Scope: state.scope, Token: state.token})
		}
	})
}

// renewGrants grants the set until the end of the home lease.
func (d *Dispatcher) renewGrants(set backend.GrantSet) {
	expires := d.recordGrantExpiry(set)
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	status, err := d.grantor.Renew(ctx, set, expires)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.recordProbe(now, status.Health, err)
	if err != nil {
		return
	}
	d.grantedUntil = expires
	d.markGranted(set, status.Stale, now)
}

// recordGrantExpiry records, before the call, that the server may hold the grants until the returned time.
func (d *Dispatcher) recordGrantExpiry(set backend.GrantSet) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	expires := d.config.LeaseEnd()
	for _, grant := range set.Grants {
		if state := d.lookupScope(grant.Scope); state != nil {
			state.withdrawn = false
			if expires.After(state.grantExpiry) {
				state.grantExpiry = expires
			}
		}
	}
	return expires
}

// markGranted enables dispatch for the scopes whose grants the server acknowledged.
func (d *Dispatcher) markGranted(set backend.GrantSet, stale []backend.Scope, now time.Time) {
	refused := make(map[backend.Scope]bool, len(stale))
	for _, scope := range stale {
		refused[scope] = true
	}
	for _, grant := range set.Grants {
		state := d.lookupScope(grant.Scope)
		if state == nil || state.token != grant.Token || state.granted || refused[grant.Scope] {
			continue
		}
		state.granted = true
		d.requeueWaiting(state, now)
	}
}

// probeServer checks the health of a server that currently gets no grants.
func (d *Dispatcher) probeServer() {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	report, err := d.grantor.Probe(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	wasContacted := d.health.contacted
	d.health.recordProbe(time.Now(), report, err)
	if d.health.contacted && !wasContacted {
		d.grantSetDirty = true
		d.requestCycle()
	}
}
