package assign

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Sketch finds the heaviest keys of a stream in bounded memory, by the Space-Saving algorithm with exponential decay.
// It always contains every key whose work exceeds 1/size of the total. A Sketch is not safe for concurrent use.
type Sketch struct {
	size    int
	entries []sketchEntry
	// byKey maps each key to its index in entries. These indexes do not change when the heap is reordered.
	byKey map[string]int32
	// heap is a binary min-heap by work; it holds indexes of entries.
	heap     []int32
	halfLife time.Duration
	// decayedAt is the time of the last call of Decay.
	decayedAt time.Duration
	// unitWork is the decayed work of a key with a constant rate of 1. It converts work to work per second.
	unitWork float64
}

type sketchEntry struct {
	key string
	// work is the decayed work of the key. It exceeds the true value by at most overestimate.
	work         float64
	overestimate float64
	// heapIndex is the index of the entry in the heap.
	heapIndex int32
}

// NewSketch returns a sketch with size counters that decay with the given half-life.
func NewSketch(size int, halfLife time.Duration) *Sketch {
	return &Sketch{
		size:     size,
		entries:  make([]sketchEntry, 0, size),
		byKey:    make(map[string]int32, size),
		heap:     make([]int32, 0, size),
		halfLife: halfLife,
	}
}

// Observe adds the work of one request for key. If the sketch is full, a new key replaces the lightest one and inherits
// its work as overestimate.
func (s *Sketch) Observe(key string, work float64) {
	if i, ok := s.byKey[key]; ok {
		s.entries[i].work += work
		s.siftDown(s.entries[i].heapIndex)
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
	lightest.overestimate = lightest.work
	lightest.work += work
	s.byKey[key] = i
	s.siftDown(0)
}

// insert appends an entry to a sketch that is not full.
func (s *Sketch) insert(key string, work float64) {
	i := int32(len(s.entries))
	s.entries = append(s.entries, sketchEntry{key: key, work: work, heapIndex: i})
	s.byKey[key] = i
	s.heap = append(s.heap, i)
	s.siftUp(i)
}

// Decay decays the sketch to time now. Call it about once a second, before Top.
func (s *Sketch) Decay(now time.Duration) {
	if now <= s.decayedAt {
		return
	}
	decay := math.Exp2(-(now - s.decayedAt).Seconds() / s.halfLife.Seconds())
	for i := range s.entries {
		s.entries[i].work *= decay
		s.entries[i].overestimate *= decay
	}
	s.unitWork = decay * (s.unitWork + (now - s.decayedAt).Seconds())
	s.decayedAt = now
}

// Top returns the keys whose guaranteed load, without overestimate, is at least minLoad in work per second, heaviest
// first.
func (s *Sketch) Top(minLoad float64) []KeyLoad {
	if s.unitWork == 0 {
		return nil
	}
	var top []KeyLoad
	for i := range s.entries {
		if load := (s.entries[i].work - s.entries[i].overestimate) / s.unitWork; load >= minLoad {
			top = append(top, KeyLoad{Key: s.entries[i].key, Load: load})
		}
	}
	slices.SortFunc(top, func(a, b KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return top
}

// place stores the index i of an entry at a position of the heap.
func (s *Sketch) place(position, i int32) {
	s.heap[position] = i
	s.entries[i].heapIndex = position
}

// siftUp restores the heap order after the work of the entry at a heap position decreased.
func (s *Sketch) siftUp(position int32) {
	i := s.heap[position]
	for position > 0 {
		parent := (position - 1) / 2
		if s.entries[s.heap[parent]].work <= s.entries[i].work {
			break
		}
		s.place(position, s.heap[parent])
		position = parent
	}
	s.place(position, i)
}

// siftDown restores the heap order after the work of the entry at a heap position increased.
func (s *Sketch) siftDown(position int32) {
	i := s.heap[position]
	for {
		lightest := 2*position + 1
		if int(lightest) >= len(s.heap) {
			break
		}
		if right := lightest + 1; int(right) < len(s.heap) && s.workAt(right) < s.workAt(lightest) {
			lightest = right
		}
		if s.entries[i].work <= s.workAt(lightest) {
			break
		}
		s.place(position, s.heap[lightest])
		position = lightest
	}
	s.place(position, i)
}

// workAt returns the work of the entry at a heap position.
func (s *Sketch) workAt(position int32) float64 {
	return s.entries[s.heap[position]].work
}
