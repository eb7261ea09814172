package control

import (
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Assigner is the assignment policy of a holder. It keeps what the policy needs between two rounds and belongs to the
// loop's goroutine.
type Assigner struct {
	policy   assign.Policy
	config   *config.Config
	services map[string]*assignerState
}

// assignerState is what one service needs between two rounds.
type assignerState struct {
	overrides  []assign.Override
	unbalanced time.Duration
	states     map[string]cell.ServerState
	coldSince  map[string]time.Duration
}

// NewAssigner returns an assigner without history.
func NewAssigner() *Assigner {
	return &Assigner{services: make(map[string]*assignerState)}
}

// Configure takes the configuration in force.
func (a *Assigner) Configure(c *config.Config) { a.config = c }

// Next computes the wanted ownership of one service.
func (a *Assigner) Next(r cell.AssignRequest) cell.AssignResult {
	state := a.state(r.Service)
	input := &assign.Input{
		Now:            r.Now,
		Preference:     config.Preference(r.Preference),
		Servers:        state.servers(r),
		PartitionCount: len(r.Previous),
		Partitions:     partitionLoads(r),
		Overrides:      state.previous(r),
		HotKeys:        hotKeys(r),
		OverrideLimit:  a.overrideLimit(),
		Capacity:       a.slots(r.Service),
		// The policy moves nothing for a deviation that passes by itself.
		UnbalancedSince: state.unbalanced,
	}
	result := a.policy.Next(input)
	state.overrides = result.Overrides
	state.unbalanced = result.UnbalancedSince
	return toCellResult(r, input, result)
}

func (a *Assigner) state(service string) *assignerState {
	state, ok := a.services[service]
	if !ok {
		state = &assignerState{states: make(map[string]cell.ServerState), coldSince: make(map[string]time.Duration)}
		a.services[service] = state
	}
	return state
}

// overrideLimit divides the overrides of the cell over its keyed services.
func (a *Assigner) overrideLimit() int {
	keyed := 0
	for _, s := range a.config.Services {
		if s.Keyed {
			keyed++
		}
	}
	return assign.MaxOverrides / max(1, keyed)
}

// slots returns the slot time that a server of weight 1 executes in a second.
func (a *Assigner) slots(service string) float64 {
	if s, ok := a.config.Service(service); ok {
		return float64(s.Slots)
	}
	return 0
}

// servers converts the servers and notes when one comes up cold.
func (s *assignerState) servers(r cell.AssignRequest) []assign.Server {
	servers := make([]assign.Server, 0, len(r.Servers))
	for _, server := range r.Servers {
		previous, known := s.states[server.Name]
		if known && previous != cell.ServerUp && server.State == cell.ServerUp {
			s.coldSince[server.Name] = r.Now
		}
		s.states[server.Name] = server.State
		cold, ok := s.coldSince[server.Name]
		if !ok {
			cold = assign.Warm
		}
		servers = append(servers, assign.Server{
			Name:      server.Name,
			Weight:    server.Weight,
			State:     assign.State(server.State),
			ColdSince: cold,
		})
	}
	return servers
}

// previous returns the overrides in force by the table. A new holder knows their owners but not their history.
func (s *assignerState) previous(r cell.AssignRequest) []assign.Override {
	var overrides []assign.Override
	for _, key := range r.Keys {
		if key.Previous == cell.Unowned {
			continue
		}
		override := assign.Override{Key: key.Key, Since: r.Now}
		if i := slices.IndexFunc(s.overrides, func(o assign.Override) bool { return o.Key == key.Key }); i >= 0 {
			override = s.overrides[i]
		}
		override.Owner = r.Servers[key.Previous].Name
		overrides = append(overrides, override)
	}
	return overrides
}

// partitionLoads returns the loads of the cell's partitions. Homes report their heaviest partitions only; the rest of a
// server's load counts in equal parts for the others.
func partitionLoads(r cell.AssignRequest) []assign.PartitionLoad {
	var loads []assign.PartitionLoad
	rest := restPerPartition(r)
	for p, previous := range r.Previous {
		if !r.Placed[p] {
			continue
		}
		load := assign.PartitionLoad{ID: keyspace.Partition(p)}
		if previous != cell.Unowned {
			load.Owner = r.Servers[previous].Name
		}
		if r.Load != nil {
			load.Load = r.Load[p]
		}
		if load.Load == 0 && previous != cell.Unowned {
			load.Load = rest[previous]
		}
		loads = append(loads, load)
	}
	return loads
}

// restPerPartition returns, for each server, its load beyond the reported partitions, divided by the others.
func restPerPartition(r cell.AssignRequest) []float64 {
	rest := make([]float64, len(r.Servers))
	unreported := make([]int, len(r.Servers))
	for i, server := range r.Servers {
		rest[i] = server.Load
	}
	for p, previous := range r.Previous {
		switch {
		case previous == cell.Unowned || !r.Placed[p]:
		case r.Load != nil && r.Load[p] > 0:
			rest[previous] -= r.Load[p]
		default:
			unreported[previous]++
		}
	}
	for i := range rest {
		rest[i] = max(0, rest[i]) / float64(max(1, unreported[i]))
	}
	return rest
}

func hotKeys(r cell.AssignRequest) []assign.KeyLoad {
	keys := make([]assign.KeyLoad, 0, len(r.Keys))
	for _, key := range r.Keys {
		keys = append(keys, assign.KeyLoad{Key: key.Key, Load: key.Load})
	}
	return keys
}

func toCellResult(r cell.AssignRequest, input *assign.Input, result *assign.Result) cell.AssignResult {
	index := make(map[string]int, len(r.Servers))
	for i, server := range r.Servers {
		index[server.Name] = i
	}
	converted := cell.AssignResult{Owners: slices.Repeat([]int{cell.Unowned}, len(r.Previous))}
	for i, owner := range result.Owners {
		if server, ok := index[owner]; ok {
			converted.Owners[input.Partitions[i].ID] = server
		}
	}
	for _, override := range result.Overrides {
		if server, ok := index[override.Owner]; ok {
			converted.Keys = append(converted.Keys, cell.KeyOwner{Key: override.Key, Server: server})
		}
	}
	return converted
}
