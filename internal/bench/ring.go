package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

const (
	// virtualNodesPerServer is the number of positions of each server on the hash ring.
	virtualNodesPerServer = 100
	// loadBound is the maximum load of a server relative to the mean.
	loadBound = 1.25
)

// ringRouter is consistent hashing with bounded loads: each partition belongs to the first server clockwise whose load
// does not exceed loadBound times the mean. It uses the same smoothed loads as the system.
type ringRouter struct {
	workload         *workload
	tracker          *assign.Tracker
	owners           []int32
	keysPerPartition []int
	virtualNodes     []virtualNode
	placedServers    int
	lastRound        time.Duration
}

// virtualNode is one position of a server on the hash ring.
type virtualNode struct {
	hash   uint64
	server int32
}

func newRingRouter(workload *workload, partitionCount int) *ringRouter {
	r := &ringRouter{
		workload:         workload,
		tracker:          assign.NewTracker(partitionCount, assign.DefaultSmoothing()),
		owners:           make([]int32, partitionCount),
		keysPerPartition: make([]int, partitionCount),
		lastRound:        -time.Second,
	}
	for _, partition := range workload.partitions {
		r.keysPerPartition[partition]++
	}
	for id := range r.owners {
		r.owners[id] = -1
	}
	return r
}

func (r *ringRouter) name() string {
	return "ring-bounded"
}

func (r *ringRouter) ownerOf(key int32) int32 {
	return r.owners[r.workload.partitions[key]]
}

func (r *ringRouter) recordRequest(key int32) {
	r.tracker.AddPartition(r.workload.partitions[key], 1)
}

func (r *ringRouter) assignOwners(now time.Duration, servers []assign.Server) moveCounts {
	r.tracker.Advance(now - r.lastRound)
	r.lastRound = now
	r.addVirtualNodes(servers)
	total := 0.0
	for id := range r.owners {
		total += r.partitionLoad(id)
	}
	bound := loadBound * total / float64(max(1, len(eligibleServers(servers))))
	loads := make([]float64, len(servers))
	var moved moveCounts
	for id, before := range r.owners {
		owner := r.findOwner(id, servers, loads, bound)
		loads[owner] += r.partitionLoad(id)
		r.owners[id] = owner
		if before < 0 || before == owner {
			continue
		}
		moved.moves++
		moved.keys += r.keysPerPartition[id]
		if servers[before].State == assign.Down {
			moved.lostKeys += r.keysPerPartition[id]
		}
	}
	return moved
}

// partitionLoad returns the smoothed load of a partition. A small constant keeps idle partitions above zero, so that
// the first round spreads them.
func (r *ringRouter) partitionLoad(id int) float64 {
	return r.tracker.Load(keyspace.Partition(id)) + 1e-6
}

// addVirtualNodes adds the servers that joined since the last round to the ring.
func (r *ringRouter) addVirtualNodes(servers []assign.Server) {
	if r.placedServers == len(servers) {
		return
	}
	for ; r.placedServers < len(servers); r.placedServers++ {
		for i := range virtualNodesPerServer {
			hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", servers[r.placedServers].Name, i))
			r.virtualNodes = append(r.virtualNodes, virtualNode{hash: hash, server: int32(r.placedServers)})
		}
	}
	slices.SortFunc(r.virtualNodes, func(a, b virtualNode) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
}

// findOwner returns the first server clockwise from a partition that is up and stays within the load bound. If there is
// none, it returns the first that is up.
func (r *ringRouter) findOwner(id int, servers []assign.Server, loads []float64, bound float64) int32 {
	hash := splitMix64(uint64(id) + 1)
	start, _ := slices.BinarySearchFunc(r.virtualNodes, hash, func(p virtualNode, hash uint64) int {
		if p.hash < hash {
			return -1
		}
		return 1
	})
	fallback := int32(-1)
	for i := range r.virtualNodes {
		server := r.virtualNodes[(start+i)%len(r.virtualNodes)].server
		if servers[server].State != assign.Up {
			continue
		}
		if fallback < 0 {
			fallback = server
		}
		if loads[server]+r.partitionLoad(id) <= bound {
			return server
		}
	}
	return fallback
}
