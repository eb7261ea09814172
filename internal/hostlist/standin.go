package hostlist

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Fake is the stand-in of the platform's list. It lags by a set time and can have wrong entries.
type Fake struct {
	now func() time.Time

	// mu protects the fields below.
	mu      sync.Mutex
	changes []change
	lag     time.Duration
	// wrong replaces entries; an empty state hides the host.
	wrong map[string]State
	down  bool
	calls uint64
}

// change is one change of reality. An empty state removes the host.
type change struct {
	at    time.Time
	host  string
	state State
}

// NewFake returns an empty list. The lag follows the clock now.
func NewFake(now func() time.Time) *Fake {
	return &Fake{now: now, wrong: make(map[string]State)}
}

// Set changes the state of a host.
func (s *Fake) Set(host string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: s.now(), host: host, state: state})
}

// Remove takes a host off the list.
func (s *Fake) Remove(host string) { s.Set(host, "") }

// SetLag makes changes visible only after lag.
func (s *Fake) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// SetOverride makes the list show state for a host whatever is true. An empty state hides the host.
func (s *Fake) SetOverride(host string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong[host] = state
}

// ClearOverride removes the wrong entry of a host.
func (s *Fake) ClearOverride(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.wrong, host)
}

// SetDown makes calls fail with ErrUnavailable until it is switched off.
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
	states := s.visible()
	maps.Copy(states, s.wrong)
	var hosts []Host
	for _, name := range slices.Sorted(maps.Keys(states)) {
		if states[name] != "" {
			hosts = append(hosts, Host{Name: name, State: states[name]})
		}
	}
	return hosts, nil
}

// visible returns the states as they were before the lag. The caller holds mu.
func (s *Fake) visible() map[string]State {
	limit := s.now().Add(-s.lag)
	states := make(map[string]State)
	for _, c := range s.changes {
		if !c.at.After(limit) {
			states[c.host] = c.state
		}
	}
	return states
}
