package home

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// withdrawIdle withdraws the grants of scopes that are releasing and idle, and of scopes that are gone.
func (d *Dispatcher) withdrawIdle() {
	states := d.toWithdraw(time.Now())
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
		return // the grants expire by themselves
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, state := range states {
		state.withdrawn = true
	}
}

func (d *Dispatcher) toWithdraw(now time.Time) []*scopeState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var states []*scopeState
	d.scopes(func(state *scopeState) {
		if state != d.whole && state.releasing && state.idle(now) && !state.ungranted(now) {
			states = append(states, state)
		}
	})
	kept := d.departed[:0]
	for _, state := range d.departed {
		// A scope that came back belongs to the new state.
		if state.ungranted(now) || d.lookup(state.scope) != nil {
			continue
		}
		kept = append(kept, state)
		states = append(states, state)
	}
	clear(d.departed[len(kept):])
	d.departed = kept
	if len(states) > 0 {
		// Also after a failed withdrawal the next renewal must not extend these grants.
		d.setDirty = true
	}
	return states
}

// markReleased finds the scopes whose release is complete.
func (d *Dispatcher) markReleased(now time.Time) {
	d.scopes(func(state *scopeState) {
		if !state.releasing || state.released || !state.idle(now) {
			return
		}
		if d.config.Fenced && !state.ungranted(now) {
			return
		}
		state.released = true
	})
}

// report describes the state. withLoad adds the loads and hot keys, and starts their counts again.
func (d *Dispatcher) report(now time.Time, withLoad bool) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := Report{
		WorkEnd:     d.workEnd(),
		Server:      d.config.Server,
		Health:      d.health.judgement,
		InProgress:  d.busy,
		Queued:      d.queue.Len() + d.holding,
		ServiceTime: d.serviceTime,
	}
	d.scopes(func(state *scopeState) {
		if state == d.whole {
			return
		}
		if state.latched {
			// The holder must learn that the server was down, also if it is up again.
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

// workEnd returns the end of everything that this home caused on the server.
func (d *Dispatcher) workEnd() time.Time {
	var end time.Time
	visit := func(state *scopeState) {
		if state.busyUntil.After(end) {
			end = state.busyUntil
		}
		if d.config.Fenced && !state.withdrawn && state.grantEnd.After(end) {
			end = state.grantEnd
		}
	}
	d.scopes(visit)
	for _, state := range d.departed {
		visit(state)
	}
	if last := d.config.lastDeadline(); d.busy > 0 && last.After(end) {
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

// Report returns the current state without loads.
func (d *Dispatcher) Report() Report { return d.report(time.Now(), false) }
