package cell

import (
	"math"
	"time"
)

// Unowned is the server index of a partition or key without an owner.
const Unowned = -1

// AssignServer is one backend server of a service.
type AssignServer struct {
	Name   string
	Weight float64
	State  ServerState
	// Load is the reported load in slots, 0 if unknown.
	Load float64
}

// AssignKey is one hot key of a service.
type AssignKey struct {
	Key string
	// Previous is the index of the server that owns the key as an override, or Unowned.
	Previous int
	// Load is the reported load in slots, 0 if unknown.
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
	// Placed is false for a partition that belongs to another cell, or that this cell has not taken over yet. The result
	// for it is ignored.
	Placed []bool
	// Load holds the reported load of each partition in slots; nil if none was reported.
	Load []float64
	// Keys holds the keys that are overrides or were reported as hot.
	Keys []AssignKey
}

// KeyOwner is the owner of one override, a hot key that is owned apart from its partition.
type KeyOwner struct {
	Key string
	// Server is an index into the servers of the request.
	Server int
}

// AssignResult is the desired ownership. The holder reaches it by releasing and granting partitions and keys.
type AssignResult struct {
	// Owners holds, for each partition, the index of its owner, or Unowned.
	Owners []int
	// Keys holds all overrides that should exist. A key that is not in it returns to its partition.
	Keys []KeyOwner
}

// AssignFunc is an assignment policy. Its result must depend only on its argument and on state of its own.
type AssignFunc func(AssignRequest) AssignResult

// AssignEvenly assigns partitions to the servers that are up in proportion to their weights, and keeps the previous
// owner where its quota allows. It creates no overrides.
func AssignEvenly(r AssignRequest) AssignResult {
	quota, usable := evenQuotas(r)
	result := AssignResult{Owners: make([]int, len(r.Previous))}
	if !usable {
		copy(result.Owners, r.Previous)
	} else {
		keepWithinQuota(r, quota, result.Owners)
		assignRemaining(r, quota, result.Owners)
	}
	for _, k := range r.Keys {
		if k.Previous == Unowned {
			continue
		}
		server := k.Previous
		if usable && r.Servers[server].State != ServerUp {
			server = largestRemainingQuota(quota)
		}
		result.Keys = append(result.Keys, KeyOwner{Key: k.Key, Server: server})
	}
	return result
}

// evenQuotas returns the number of partitions for each server, rounded up, and false if no server is up.
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

func assignRemaining(r AssignRequest, quota, owners []int) {
	for p := range owners {
		if !r.Placed[p] || owners[p] != Unowned {
			continue
		}
		best := largestRemainingQuota(quota)
		quota[best]--
		owners[p] = best
	}
}

func largestRemainingQuota(quota []int) int {
	best := 0
	for i := range quota {
		if quota[i] > quota[best] {
			best = i
		}
	}
	return best
}
