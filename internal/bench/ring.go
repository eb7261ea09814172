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
	// ringPoints is the number of points of each server on the ring.
	ringPoints = 100
	// ringBound is the greatest load of a server relative to the mean.
	ringBound = 1.25
)

// ringRouter is consistent hashing with bounded loads: each partition goes to the first server clockwise whose load
// stays below ringBound times the mean. It sees the same smoothed loads as the system.
type ringRouter struct {
	work    *workload
	tracker *assign.Tracker
	owners  []int32
	keys    []int
	points  []ringPoint
	servers int
	last    time.Duration
}

// ringPoint is one point of a server on the ring.
type ringPoint struct {
	hash   uint64
	server int32
}

func newRingRouter(work *workload, count int) *ringRouter {
	r := &ringRouter{
		work:    work,
		tracker: assign.NewTracker(count, assign.DefaultSmoothing()),
		owners:  make([]int32, count),
		keys:    make([]int, count),
		last:    -time.Second,
	}
	for _, partition := range work.partitions {
		r.keys[partition]++
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
	return r.owners[r.work.partitions[key]]
}

func (r *ringRouter) observe(key int32) {
	r.tracker.AddPartition(r.work.partitions[key], 1)
}

func (r *ringRouter) round(now time.Duration, servers []assign.Server) movement {
	r.tracker.Advance(now - r.last)
	r.last = now
	r.addPoints(servers)
	total := 0.0
	for id := range r.owners {
		total += r.load(id)
	}
	bound := ringBound * total / float64(max(1, len(eligibleServers(servers))))
	loads := make([]float64, len(servers))
	var moved movement
	for id, before := range r.owners {
		owner := r.find(id, servers, loads, bound)
		loads[owner] += r.load(id)
		r.owners[id] = owner
		if before < 0 || before == owner {
			continue
		}
		moved.moves++
		moved.keys += r.keys[id]
		if servers[before].State == assign.Down {
			moved.lost += r.keys[id]
		}
	}
	return moved
}

// load returns the load of a partition. Idle partitions count a little, so that the first round spreads them.
func (r *ringRouter) load(id int) float64 {
	return r.tracker.Load(keyspace.Partition(id)) + 1e-6
}

func (r *ringRouter) addPoints(servers []assign.Server) {
	if r.servers == len(servers) {
		return
	}
	for ; r.servers < len(servers); r.servers++ {
		for i := range ringPoints {
			hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", servers[r.servers].Name, i))
			r.points = append(r.points, ringPoint{hash: hash, server: int32(r.servers)})
		}
	}
	slices.SortFunc(r.points, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
}

// find returns the first server clockwise from a partition that is up and has room, or the first that is up.
func (r *ringRouter) find(id int, servers []assign.Server, loads []float64, bound float64) int32 {
	hash := mix(uint64(id) + 1)
	start, _ := slices.BinarySearchFunc(r.points, hash, func(p ringPoint, hash uint64) int {
		if p.hash < hash {
			return -1
		}
		return 1
	})
	first := int32(-1)
	for i := range r.points {
		server := r.points[(start+i)%len(r.points)].server
		if servers[server].State != assign.Up {
			continue
		}
		if first < 0 {
			first = server
		}
		if loads[server]+r.load(id) <= bound {
			return server
		}
	}
	return first
}
