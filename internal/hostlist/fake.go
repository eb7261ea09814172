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
func (s *Fake) Set(host string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: s.now(), host: host, state: state})
}

// Remove removes a host from the list.
func (s *Fake) Remove(host string) { s.Set(host, "") }

// SetLag makes each change visible only after lag.
func (s *Fake) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetOverride makes the list show state for a host regardless of its actual state. An empty state hides the host.
func (s *Fake) SetOverride(host string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overrides[host] = state
}

// ClearOverride makes the list show the actual state of a host again.
func (s *Fake) ClearOverride(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.overrides, host)
}

// SetDown simulates an outage: while down is true, every call fails with ErrUnavailable.
func (s *Fake) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Calls returns the number of calls so far.
func (s *Fake) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Hosts implements List.
func (s *Fake) Hosts(ctx context.Context) ([]Host, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if s.down {
		return nil, ErrUnavailable
	}
	states := s.laggedStates()
	maps.Copy(states, s.overrides)
	var hosts []Host
	for _, name := range slices.Sorted(maps.Keys(states)) {
		if states[name] != "" {
			hosts = append(hosts, Host{Name: name, State: states[name]})
		}
	}
	return hosts, nil
}

// laggedStates returns the states of the hosts as of the lag ago. The caller holds mu.
func (s *Fake) laggedStates() map[string]State {
	cutoff := s.now().Add(-s.lag)
	states := make(map[string]State)
	for _, c := range s.changes {
		if !c.at.After(cutoff) {
			states[c.host] = c.state
		}
	}
	return states
}
