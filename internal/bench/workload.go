package bench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// workload draws keys at random according to their popularity. Rank 0 is the most popular.
type workload struct {
	random *rand.Rand
	// zipf is nil if all keys are equally popular.
	zipf *rand.Zipf
	// names and partitions are indexed by key.
	names      []string
	partitions []keyspace.Partition
	// keyOfRank and popularity are indexed by rank. The popularities sum to 1.
	keyOfRank  []int32
	popularity []float64
}

// newWorkload returns a workload with count keys. An exponent of 0 makes all keys equally popular.
func newWorkload(random *rand.Rand, count, partitions int, exponent float64) *workload {
	w := &workload{
		random:     random,
		names:      make([]string, count),
		partitions: make([]keyspace.Partition, count),
		keyOfRank:  make([]int32, count),
		popularity: make([]float64, count),
	}
	if exponent > 0 {
		w.zipf = rand.NewZipf(random, exponent, 1, uint64(count-1))
	}
	sum := 0.0
	for rank := range count {
		w.names[rank] = fmt.Sprintf("key-%d", rank)
		w.partitions[rank] = keyspace.PartitionOf(w.names[rank], partitions)
		w.keyOfRank[rank] = int32(rank)
		w.popularity[rank] = math.Pow(float64(rank+1), -exponent)
		sum += w.popularity[rank]
	}
	for rank := range w.popularity {
		w.popularity[rank] /= sum
	}
	random.Shuffle(count, w.swapRanks)
	return w
}

func (w *workload) swapRanks(a, b int) {
	w.keyOfRank[a], w.keyOfRank[b] = w.keyOfRank[b], w.keyOfRank[a]
}

// shiftHotKeys swaps each of the count hottest ranks with a random rank.
func (w *workload) shiftHotKeys(count int) {
	for rank := range count {
		w.swapRanks(rank, w.random.IntN(len(w.keyOfRank)))
	}
}

// drawKey draws the key of the next request.
func (w *workload) drawKey() int32 {
	if w.zipf == nil {
		return w.keyOfRank[w.random.IntN(len(w.keyOfRank))]
	}
	return w.keyOfRank[w.zipf.Uint64()]
}
