package bench

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

// rendezvousRouter gives each key to the server with the greatest weighted score (highest random weight). It needs
// no table and does not know loads.
type rendezvousRouter struct {
	work   *workload
	owners []int32
	// hashes holds the hash of each key.
	hashes []uint64
	// eligible are the servers of the last round that may own keys.
	eligible []int
}

func newRendezvousRouter(work *workload) *rendezvousRouter {
	r := &rendezvousRouter{work: work, owners: make([]int32, len(work.names)), hashes: make([]uint64, len(work.names))}
	for key, name := range work.names {
		r.hashes[key] = xxhash.Sum64String(name)
		r.owners[key] = -1
	}
	return r
}

func (r *rendezvousRouter) name() string {
	return "rendezvous"
}

func (r *rendezvousRouter) ownerOf(key int32) int32 {
	return r.owners[key]
}

func (r *rendezvousRouter) observe(int32) {}

func (r *rendezvousRouter) round(_ time.Duration, servers []assign.Server) movement {
	eligible := eligibleServers(servers)
	if sameServers(eligible, r.eligible) {
		return movement{}
	}
	r.eligible = eligible
	seeds := make([]uint64, len(servers))
	for i := range servers {
		seeds[i] = xxhash.Sum64String(servers[i].Name)
	}
	var moved movement
	for key, hash := range r.hashes {
		best := bestServer(hash, seeds, eligible)
		if before := r.owners[key]; before >= 0 && before != best {
			moved.keys++
			moved.moves++
			if servers[before].State == assign.Down {
				moved.lost++
			}
		}
		r.owners[key] = best
	}
	return moved
}

func bestServer(hash uint64, seeds []uint64, eligible []int) int32 {
	best, bestScore := 0, uint64(0)
	for _, server := range eligible {
		if score := mix(hash ^ seeds[server]); score >= bestScore {
			best, bestScore = server, score
		}
	}
	return int32(best)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func eligibleServers(servers []assign.Server) []int {
	var eligible []int
	for i := range servers {
		if servers[i].State == assign.Up {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

func sameServers(a, b []int) bool {
	if len(a) != len(b) || a == nil {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
