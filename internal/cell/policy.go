package cell

import (
	"math"
	"time"
)

// Unowned is the index of a partition or key without an owner.
const Unowned = -1

// AssignServer is one backend server of a service.
type AssignServer struct {
	Name   string
	Weight float64
	State  ServerState
	// Load is the reported use in slots, 0 if unknown.
	Load float64
}

// AssignKey is one hot key of a service.
type AssignKey struct {
	Key string
	// Previous is the index of the server that owns the key as an override, or Unowned.
	Previous int
	// Load is the reported use in slots, 0 if unknown.
	Load float64
}

// AssignRequest is the input of the assignment policy for one service.
type AssignRequest struct {
	// Now is the monotonic time of the holder.
	Now        time.Duration
	Service    string
	Preference string
	Servers    []AssignServer
	// Previous holds, for each partition, the index of its owner, or Unowned.
	Previous []int
	// Placed is false for a partition that belongs to another cell; its result is ignored.
	Placed []bool
	// Load holds the reported use of each partition in slots; nil if nothing was reported.
	Load []float64
	// Keys holds the keys that are overrides now or were reported as hot.
	Keys []AssignKey
}

// KeyOwner is the owner of one override.
type KeyOwner struct {
	Key string
	// Server is an index into the servers of the request.
	Server int
}

// AssignResult is the wanted ownership. The holder moves partitions and keys to it by release and grant.
type AssignResult struct {
	// Owners holds, for each partition, the index of its owner, or Unowned.
	Owners []int
	// Keys holds all overrides that should exist. A key that is missing returns to its partition.
	Keys []KeyOwner
}

// AssignFunc is an assignment policy. It must be a pure function of its argument and of state that its owner keeps.
type AssignFunc func(AssignRequest) AssignResult

// AssignEvenly gives each server that is up a number of partitions in proportion to its weight, and keeps the
// previous owner where that allows it. It creates no overrides.
func AssignEvenly(r AssignRequest) AssignResult {
	quota, usable := evenQuotas(r)
	result := AssignResult{Owners: make([]int, len(r.Previous))}
	if !usable {
		copy(result.Owners, r.Previous)
	} else {
		keepWithinQuota(r, quota, result.Owners)
		fillUp(r, quota, result.Owners)
	}
	for _, k := range r.Keys {
		if k.Previous == Unowned {
			continue
		}
		server := k.Previous
		if usable && r.Servers[server].State != ServerUp {
			server = roomiest(quota)
		}
		result.Keys = append(result.Keys, KeyOwner{Key: k.Key, Server: server})
	}
	return result
}

// evenQuotas returns the number of partitions that each server should have, rounded up.
func evenQuotas(r AssignRequest) ([]int, bool) {
	placed, weight := 0, 0.0
	for _, p := range r.Placed {
		if p {
			placed++
		}
	}
	for _, s := range r.Servers {
		if s.State == ServerUp {
			weight += s.Weight
		}
	}
	quota := make([]int, len(r.Servers))
	if weight == 0 {
		return quota, false
	}
	for i, s := range r.Servers {
		if s.State == ServerUp {
			quota[i] = int(math.Ceil(float64(placed) * s.Weight / weight))
		}
	}
	return quota, true
}

func keepWithinQuota(r AssignRequest, quota, owners []int) {
	for p, previous := range r.Previous {
		owners[p] = Unowned
		if r.Placed[p] && previous != Unowned && quota[previous] > 0 {
			quota[previous]--
			owners[p] = previous
		}
	}
}

func fillUp(r AssignRequest, quota, owners []int) {
	for p := range owners {
		if !r.Placed[p] || owners[p] != Unowned {
			continue
		}
		best := roomiest(quota)
		quota[best]--
		owners[p] = best
	}
}

func roomiest(quota []int) int {
	best := 0
	for i := range quota {
		if quota[i] > quota[best] {
			best = i
		}
	}
	return best
}
