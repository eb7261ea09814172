package assign

import (
	"sort"
	"time"
)

// noServer is the index of a missing or unknown server.
const noServer int32 = -1

// unit is an item with its own owner: a partition or a hot key with an override.
type unit struct {
	load float64
	// previous is the index of the owner before the round.
	previous int32
	// owner is the index of the owner after the round.
	owner int32
}

// round is the state of one call of Policy.Next. units holds the partitions in input order, then the overrides.
type round struct {
	in     *Input
	tuning *Tuning
	// capacity is the capacity of each server, 0 for one that is not up.
	capacity []float64
	// totalCapacity is the sum of capacity.
	totalCapacity float64
	units         []unit
	hotKeyState   hotKeys
	// fairShare is the load per unit of capacity under a proportional distribution, without the oversized keys.
	fairShare float64
	// oversizedKeys holds the keys that exceed the fair share of a whole server. They are the first overrides.
	oversizedKeys []KeyLoad
	// meanPartitionLoad is the mean load of a partition.
	meanPartitionLoad float64
	// load is the current load of each server.
	load []float64
	// overloaded and underloaded mark the servers that deviate from their fair share.
	overloaded, underloaded []bool
	// forcedMoves is the number of moves that a leaving server or a missing owner required.
	forcedMoves int
	deferred    bool
	// unbalancedSince is the value of Result.UnbalancedSince.
	unbalancedSince time.Duration
}

func newRound(in *Input, tuning *Tuning) *round {
	r := &round{in: in, tuning: tuning}
	r.capacity, r.totalCapacity = capacities(in, tuning)
	r.load = make([]float64, len(in.Servers))
	r.units = make([]unit, len(in.Partitions), len(in.Partitions)+len(in.Overrides)+len(in.HotKeys))
	r.initUnits()
	return r
}

func (r *round) initUnits() {
	index := serverIndex(r.in.Servers)
	lastName, lastIndex := "", noServer
	for i := range r.in.Partitions {
		partition := &r.in.Partitions[i]
		if partition.Owner != lastName {
			lastName, lastIndex = partition.Owner, indexOf(index, partition.Owner)
		}
		r.units[i] = unit{load: sanitizeLoad(partition.Load), previous: lastIndex, owner: lastIndex}
	}
	r.hotKeyState = splitHotKeys(r, index)
}

func serverIndex(servers []Server) map[string]int32 {
	index := make(map[string]int32, len(servers))
	for i := range servers {
		index[servers[i].Name] = int32(i)
	}
	return index
}

func indexOf(index map[string]int32, name string) int32 {
	if i, ok := index[name]; ok {
		return i
	}
	return noServer
}

// partitionIndex returns the index of a partition in Input.Partitions, or false if it belongs to another cell.
func (r *round) partitionIndex(id uint32) (int, bool) {
	partitions := r.in.Partitions
	if int(id) < len(partitions) && uint32(partitions[id].ID) == id {
		return int(id), true
	}
	i := sort.Search(len(partitions), func(i int) bool { return uint32(partitions[i].ID) >= id })
	return i, i < len(partitions) && uint32(partitions[i].ID) == id
}

// sumLoads recomputes the load of each server from its units.
func (r *round) sumLoads() {
	clear(r.load)
	for i := range r.units {
		if owner := r.units[i].owner; owner != noServer {
			r.load[owner] += r.units[i].load
		}
	}
}

// relativeLoad returns the load of a server relative to its fair share.
func (r *round) relativeLoad(server int32) float64 {
	return r.load[server] / (r.capacity[server] * r.fairShare)
}
