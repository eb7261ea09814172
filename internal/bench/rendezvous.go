package bench

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

// rendezvousRouter is rendezvous hashing (highest random weight): each key belongs to the eligible server with the
// highest hash score. It needs no routing table and ignores loads.
type rendezvousRouter struct {
	workload *workload
	// owners and keyHashes are indexed by key.
	owners    []int32
	keyHashes []uint64
	// eligible holds the indexes of the servers that could own keys in the last round.
	eligible []int
}

func newRendezvousRouter(workload *workload) *rendezvousRouter {
	r := &rendezvousRouter{workload: workload, owners: make([]int32, len(workload.names)), keyHashes: make([]uint64, len(workload.names))}
	for key, name := range workload.names {
		r.keyHashes[key] = xxhash.Sum64String(name)
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

func (r *rendezvousRouter) recordRequest(int32) {}

func (r *rendezvousRouter) assignOwners(_ time.Duration, servers []assign.Server) moveCounts {
	eligible := eligibleServers(servers)
	if sameServers(eligible, r.eligible) {
		return moveCounts{}
	}
	r.eligible = eligible
	serverHashes := make([]uint64, len(servers))
	for i := range servers {
		serverHashes[i] = xxhash.Sum64String(servers[i].Name)
	}
	var moved moveCounts
	for key, hash := range r.keyHashes {
		best := bestServer(hash, serverHashes, eligible)
		if before := r.owners[key]; before >= 0 && before != best {
			moved.keys++
			moved.moves++
			if servers[before].State == assign.Down {
				moved.lostKeys++
			}
		}
		r.owners[key] = best
	}
	return moved
}

// bestServer returns the eligible server with the highest score for a key.
func bestServer(keyHash uint64, serverHashes []uint64, eligible []int) int32 {
	best, bestScore := 0, uint64(0)
	for _, server := range eligible {
		if score := splitMix64(keyHash ^ serverHashes[server]); score >= bestScore {
			best, bestScore = server, score
		}
	}
	return int32(best)
}

// splitMix64 applies the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// eligibleServers returns the indexes of the servers that are up.
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
