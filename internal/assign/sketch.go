package assign

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Sketch finds the heaviest keys of a stream in bounded memory (space saving with decay). A key whose work exceeds
// 1/size of the total is always in it. A Sketch is not safe for concurrent use.
type Sketch struct {
	size    int
	entries []sketchEntry
	// byKey holds the place of each key in entries. Places stay the same while the heap changes.
	byKey map[string]int32
	// heap holds places in entries, the lightest entry first.
	heap     []int32
	halfLife time.Duration
	// updated is the time of the last decay.
	updated time.Duration
	// covered is the work that a key with one unit of work per second would have by now.
	covered float64
}

type sketchEntry struct {
	key string
	// work is the decayed work of the key, and at most excess too high.
	work   float64
	excess float64
	// at is the place of the entry in the heap.
	at int32
}

// NewSketch returns a sketch with size counters whose work halves each halfLife.
func NewSketch(size int, halfLife time.Duration) *Sketch {
	return &Sketch{
		size:     size,
		entries:  make([]sketchEntry, 0, size),
		byKey:    make(map[string]int32, size),
		heap:     make([]int32, 0, size),
		halfLife: halfLife,
	}
}

// Observe adds work of one request of key.
func (s *Sketch) Observe(key string, work float64) {
	if i, ok := s.byKey[key]; ok {
		s.entries[i].work += work
		s.sink(s.entries[i].at)
		return
	}
	if len(s.entries) < s.size {
		s.insert(key, work)
		return
	}
	i := s.heap[0]
	lightest := &s.entries[i]
	delete(s.byKey, lightest.key)
	lightest.key = key
	lightest.excess = lightest.work
	lightest.work += work
	s.byKey[key] = i
	s.sink(0)
}

// insert adds an entry while there is room.
func (s *Sketch) insert(key string, work float64) {
	i := int32(len(s.entries))
	s.entries = append(s.entries, sketchEntry{key: key, work: work, at: i})
	s.byKey[key] = i
	s.heap = append(s.heap, i)
	s.rise(i)
}

// Decay brings the sketch to time now. It is called about once a second, before Top.
func (s *Sketch) Decay(now time.Duration) {
	if now <= s.updated {
		return
	}
	keep := math.Exp2(-(now - s.updated).Seconds() / s.halfLife.Seconds())
	for i := range s.entries {
		s.entries[i].work *= keep
		s.entries[i].excess *= keep
	}
	s.covered = keep * (s.covered + (now - s.updated).Seconds())
	s.updated = now
}

// Top returns the keys that certainly have at least the given work per second, heaviest first.
func (s *Sketch) Top(atLeast float64) []KeyLoad {
	if s.covered == 0 {
		return nil
	}
	var top []KeyLoad
	for i := range s.entries {
		if load := (s.entries[i].work - s.entries[i].excess) / s.covered; load >= atLeast {
			top = append(top, KeyLoad{Key: s.entries[i].key, Load: load})
		}
	}
	slices.SortFunc(top, func(a, b KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return top
}

// put writes an entry to a place of the heap.
func (s *Sketch) put(at, i int32) {
	s.heap[at] = i
	s.entries[i].at = at
}

// rise restores the heap after the work at a place fell.
func (s *Sketch) rise(at int32) {
	i := s.heap[at]
	for at > 0 {
		parent := (at - 1) / 2
		if s.entries[s.heap[parent]].work <= s.entries[i].work {
			break
		}
		s.put(at, s.heap[parent])
		at = parent
	}
	s.put(at, i)
}

// sink restores the heap after the work at a place grew.
func (s *Sketch) sink(at int32) {
	i := s.heap[at]
	for {
		lightest := 2*at + 1
		if int(lightest) >= len(s.heap) {
			break
		}
		if right := lightest + 1; int(right) < len(s.heap) && s.work(right) < s.work(lightest) {
			lightest = right
		}
		if s.entries[i].work <= s.work(lightest) {
			break
		}
		s.put(at, s.heap[lightest])
		at = lightest
	}
	s.put(at, i)
}

// work returns the work of the entry at a place of the heap.
func (s *Sketch) work(at int32) float64 {
	return s.entries[s.heap[at]].work
}
