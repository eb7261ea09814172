package assign

import (
	"sort"
	"time"
)

// noServer is the index of a missing or unknown server.
const noServer int32 = -1

// unit is what can have an owner of its own: a partition or a hot key with an override.
type unit struct {
	load float64
	// previous is the index of the owner before the round.
	previous int32
	// owner is the index of the owner after the round.
	owner int32
}

// round is the working state of one call of Policy.Next. Units are the partitions in order, then the overrides.
type round struct {
	in       *Input
	tuning   *Tuning
	capacity []float64
	// capacitySum is the sum of capacity.
	capacitySum float64
	units       []unit
	hot         hotKeys
	// share is the load per capacity of a server with exactly its share, without the keys that are too hot.
	share float64
	// tooHot are the keys that exceed the share of a whole server: the first overrides.
	tooHot []KeyLoad
	// meanPartition is the mean load of a partition.
	meanPartition float64
	// load is the load of each server.
	load []float64
	// over and under mark the servers with a load above and below their share.
	over, under []bool
	// forced counts the moves that a leave or a missing owner caused.
	forced   int
	deferred bool
	// unbalancedSince is the value for the result.
	unbalancedSince time.Duration
}

func newRound(in *Input, tuning *Tuning) *round {
	r := &round{in: in, tuning: tuning}
	r.capacity, r.capacitySum = capacities(in, tuning)
	r.load = make([]float64, len(in.Servers))
	r.units = make([]unit, len(in.Partitions), len(in.Partitions)+len(in.Overrides)+len(in.HotKeys))
	r.fillPartitions()
	return r
}

func (r *round) fillPartitions() {
	index := serverIndex(r.in.Servers)
	lastName, lastIndex := "", noServer
	for i := range r.in.Partitions {
		partition := &r.in.Partitions[i]
		if partition.Owner != lastName {
			lastName, lastIndex = partition.Owner, lookup(index, partition.Owner)
		}
		r.units[i] = unit{load: cleanLoad(partition.Load), previous: lastIndex, owner: lastIndex}
	}
	r.hot = splitHotKeys(r, index)
}

func serverIndex(servers []Server) map[string]int32 {
	index := make(map[string]int32, len(servers))
	for i := range servers {
		index[servers[i].Name] = int32(i)
	}
	return index
}

func lookup(index map[string]int32, name string) int32 {
	if i, ok := index[name]; ok {
		return i
	}
	return noServer
}

// partitionIndex returns the position of the partition of a key, or false if it belongs to another cell.
func (r *round) partitionIndex(id uint32) (int, bool) {
	partitions := r.in.Partitions
	if int(id) < len(partitions) && uint32(partitions[id].ID) == id {
		return int(id), true
	}
	i := sort.Search(len(partitions), func(i int) bool { return uint32(partitions[i].ID) >= id })
	return i, i < len(partitions) && uint32(partitions[i].ID) == id
}

// sumLoads recomputes the load of each server from the owners.
func (r *round) sumLoads() {
	clear(r.load)
	for i := range r.units {
		if owner := r.units[i].owner; owner != noServer {
			r.load[owner] += r.units[i].load
		}
	}
}

// ratio returns the load of a server relative to its share.
func (r *round) ratio(server int32) float64 {
	return r.load[server] / (r.capacity[server] * r.share)
}
