package hostlist

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Fake is an in-memory List for tests. It can show changes late, show wrong entries, and fail.
type Fake struct {
	now func() time.Time

	// mu protects the fields below.
	mu      sync.Mutex
	changes []change
	lag     time.Duration
	// overrides replaces the states of hosts by wrong ones; an empty state hides the host.
	overrides map[string]State
	down      bool
	calls     uint64
}

// change is a change of the actual state of a host. An empty state removes the host.
type change struct {
	at    time.Time
	host  string
	state State
}

// NewFake returns an empty list. now is the clock that the lag uses.
func NewFake(now func() time.Time) *Fake {
	return &Fake{now: now, overrides: make(map[string]State)}
}

// Set sets the actual state of a host.
func (f *Fake) Set(host string, state State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, change{at: f.now(), host: host, state: state})
}

// Remove removes a host from the list.
func (f *Fake) Remove(host string) { f.Set(host, "") }

// SetLag makes each change visible only after lag.
func (f *Fake) SetLag(lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = lag
}

// SetOverride makes the list show state for a host regardless of its actual state. An empty state hides the host.
func (f *Fake) SetOverride(host string, state State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overrides[host] = state
}

// ClearOverride makes the list show the actual state of a host again.
func (f *Fake) ClearOverride(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.overrides, host)
}

// SetDown simulates an outage: while down is true, every call fails with ErrUnavailable.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Calls returns the number of calls so far.
func (f *Fake) Calls() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Hosts implements List.
func (f *Fake) Hosts(ctx context.Context) ([]Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if f.down {
		return nil, ErrUnavailable
	}
	states := f.laggedStates()
	maps.Copy(states, f.overrides)
	var hosts []Host
	for _, name := range slices.Sorted(maps.Keys(states)) {
		if states[name] != "" {
			hosts = append(hosts, Host{Name: name, State: states[name]})
		}
	}
	return hosts, nil
}

// laggedStates returns the states of the hosts without the changes that are more recent than the lag. The caller holds
// mu.
func (f *Fake) laggedStates() map[string]State {
	cutoff := f.now().Add(-f.lag)
	states := make(map[string]State)
	for _, c := range f.changes {
		if !c.at.After(cutoff) {
			states[c.host] = c.state
		}
	}
	return states
}
