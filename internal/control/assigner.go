package control

import (
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Assigner runs the assignment policy while this gateway is the holder of its cell, and keeps the state that the policy
// carries from one round to the next. It is not safe for concurrent use; only the loop's goroutine calls it.
type Assigner struct {
	policy    assign.Policy
	config    *config.Config
	histories map[string]*serviceHistory
}

// serviceHistory is the state of one service that is carried from one round to the next.
type serviceHistory struct {
	overrides       []assign.Override
	unbalancedSince time.Duration
	serverStates    map[string]cell.ServerState
	coldSince       map[string]time.Duration
}

// NewAssigner returns an assigner without state from earlier rounds. Configure must be called before Next.
func NewAssigner() *Assigner {
	return &Assigner{histories: make(map[string]*serviceHistory)}
}

// Configure sets the configuration in force.
func (a *Assigner) Configure(c *config.Config) { a.config = c }

// Next computes the target ownership of one service.
func (a *Assigner) Next(r cell.AssignRequest) cell.AssignResult {
	history := a.history(r.Service)
	input := &assign.Input{
		Now:            r.Now,
		Preference:     config.Preference(r.Preference),
		Servers:        history.convertServers(r),
		PartitionCount: len(r.Previous),
		Partitions:     partitionLoads(r),
		Overrides:      history.currentOverrides(r),
		HotKeys:        hotKeys(r),
		OverrideLimit:  a.overrideLimit(),
		Capacity:       a.serverCapacity(r.Service),
		// The policy ignores an imbalance until it has lasted for some time, because short ones end without moves.
		UnbalancedSince: history.unbalancedSince,
	}
	result := a.policy.Next(input)
	history.overrides = result.Overrides
	history.unbalancedSince = result.UnbalancedSince
	return toCellResult(r, input, result)
}

func (a *Assigner) history(service string) *serviceHistory {
	history, ok := a.histories[service]
	if !ok {
		history = &serviceHistory{serverStates: make(map[string]cell.ServerState), coldSince: make(map[string]time.Duration)}
		a.histories[service] = history
	}
	return history
}

// overrideLimit returns the limit of overrides per service: the limit of the cell, divided by the number of sharded
// services.
func (a *Assigner) overrideLimit() int {
	keyed := 0
	for _, s := range a.config.Services {
		if s.Keyed {
			keyed++
		}
	}
	return assign.MaxOverrides / max(1, keyed)
}

// serverCapacity returns the capacity of a server of weight 1 in seconds of slot time per second.
func (a *Assigner) serverCapacity(service string) float64 {
	if s, ok := a.config.Service(service); ok {
		return float64(s.Slots)
	}
	return 0
}

// convertServers converts the servers to the policy's type and records when a server comes up with cold caches.
func (s *serviceHistory) convertServers(r cell.AssignRequest) []assign.Server {
	servers := make([]assign.Server, 0, len(r.Servers))
	for _, server := range r.Servers {
		previous, known := s.serverStates[server.Name]
		if known && previous != cell.ServerUp && server.State == cell.ServerUp {
			s.coldSince[server.Name] = r.Now
		}
		s.serverStates[server.Name] = server.State
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

// currentOverrides returns the overrides in the table. A new holder takes their owners from the table and counts their
// age from now, because the table does not record it.
func (s *serviceHistory) currentOverrides(r cell.AssignRequest) []assign.Override {
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

// partitionLoads returns the loads of the cell's partitions. Home gateways report only the partitions with the highest
// load; the remaining load of a server is divided equally among its other partitions.
func partitionLoads(r cell.AssignRequest) []assign.PartitionLoad {
	var loads []assign.PartitionLoad
	unreported := meanUnreportedLoad(r)
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
			load.Load = unreported[previous]
		}
		loads = append(loads, load)
	}
	return loads
}

// meanUnreportedLoad returns the mean load of the unreported partitions of each server: the load of the server minus
// that of its reported partitions, divided by the number of the others.
func meanUnreportedLoad(r cell.AssignRequest) []float64 {
	remaining := make([]float64, len(r.Servers))
	unreportedCount := make([]int, len(r.Servers))
	for i, server := range r.Servers {
		remaining[i] = server.Load
	}
	for p, previous := range r.Previous {
		switch {
		case previous == cell.Unowned || !r.Placed[p]:
		case r.Load != nil && r.Load[p] > 0:
			remaining[previous] -= r.Load[p]
		default:
			unreportedCount[previous]++
		}
	}
	for i := range remaining {
		remaining[i] = max(0, remaining[i]) / float64(max(1, unreportedCount[i]))
	}
	return remaining
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
