package home

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// withdrawGrants withdraws the grants of idle scopes in release and of scopes that are no longer assigned.
func (d *Dispatcher) withdrawGrants() {
	states := d.scopesToWithdraw(time.Now())
	if len(states) == 0 {
		return
	}
	scopes := make([]backend.Scope, 0, len(states))
	for _, state := range states {
		scopes = append(scopes, state.scope)
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if err := d.grantor.Withdraw(ctx, scopes); err != nil {
		return // the grants expire without a withdrawal
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, state := range states {
		state.withdrawn = true
	}
}

func (d *Dispatcher) scopesToWithdraw(now time.Time) []*scopeState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []*scopeState
	d.forEachScope(func(state *scopeState) {
		if state != d.unkeyedScope && state.releasing && state.idle(now) && !state.grantEnded(now) {
			states = append(states, state)
		}
	})
	kept := d.removedScopes[:0]
	for _, state := range d.removedScopes {
		// A scope that was assigned again has a new state, which replaces this one.
		if state.grantEnded(now) || d.lookupScope(state.scope) != nil {
			continue
		}
		kept = append(kept, state)
		states = append(states, state)
	}
	clear(d.removedScopes[len(kept):])
	d.removedScopes = kept
	if len(states) > 0 {
		// Even if the withdrawal fails, the next renewal must not extend these grants.
		d.grantSetDirty = true
	}
	return states
}

// markReleased marks the scopes whose release is complete.
func (d *Dispatcher) markReleased(now time.Time) {
	d.forEachScope(func(state *scopeState) {
		if !state.releasing || state.released || !state.idle(now) {
			return
		}
		if d.config.Fenced && !state.grantEnded(now) {
			return
		}
		state.released = true
	})
}

// buildReport returns the current state. withLoad adds the loads and hot keys, and resets their counts.
func (d *Dispatcher) buildReport(now time.Time, withLoad bool) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := Report{
		WorkEnd:     d.workEnd(),
		Server:      d.config.Server,
		Health:      d.health.status,
		InProgress:  d.slotsInUse,
		Queued:      d.queue.Len() + d.heldCount,
		ServiceTime: d.serviceTime,
	}
	d.forEachScope(func(state *scopeState) {
		if state == d.unkeyedScope {
			return
		}
		if state.needsNewToken {
			// The holder must learn that the server was down, even if it is up again.
			report.Health = HealthDown
		}
		if state.released {
			report.Released = append(report.Released, ReleasedScope{Scope: state.scope, Token: state.token})
		}
		if withLoad && state.requests > 0 {
			report.Loads = append(report.Loads, state.takeLoad())
		}
	})
	if withLoad {
		report.HotKeys = d.sketch.take()
	}
	return report
}

// workEnd returns the value of Report.WorkEnd.
func (d *Dispatcher) workEnd() time.Time {
	var end time.Time
	visit := func(state *scopeState) {
		if state.mayExecuteUntil.After(end) {
			end = state.mayExecuteUntil
		}
		if d.config.Fenced && !state.withdrawn && state.grantExpiry.After(end) {
			end = state.grantExpiry
		}
	}
	d.forEachScope(visit)
	for _, state := range d.removedScopes {
		visit(state)
	}
	if last := d.config.latestDeadline(); d.slotsInUse > 0 && last.After(end) {
		end = last
	}
	return end
}

func (s *scopeState) takeLoad() ScopeLoad {
	load := ScopeLoad{Scope: s.scope, Requests: s.requests, SlotTime: s.slotTime}
	s.requests = 0
	s.slotTime = 0
	return load
}

// Report returns the current state without loads and hot keys.
func (d *Dispatcher) Report() Report { return d.buildReport(time.Now(), false) }
