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
	// positions holds the place of each key in entries, which is a heap with the lightest key first.
	positions map[string]int
	halfLife  time.Duration
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
}

// NewSketch returns a sketch with size counters whose work halves each halfLife.
func NewSketch(size int, halfLife time.Duration) *Sketch {
	return &Sketch{
		size:      size,
		entries:   make([]sketchEntry, 0, size),
		positions: make(map[string]int, size),
		halfLife:  halfLife,
	}
}

// Observe adds work of one request of key.
func (s *Sketch) Observe(key string, work float64) {
	if i, ok := s.positions[key]; ok {
		s.entries[i].work += work
		s.sink(i)
		return
	}
	if len(s.entries) < s.size {
		s.entries = append(s.entries, sketchEntry{key: key, work: work})
		s.positions[key] = len(s.entries) - 1
		s.rise(len(s.entries) - 1)
		return
	}
	lightest := &s.entries[0]
	delete(s.positions, lightest.key)
	*lightest = sketchEntry{key: key, work: lightest.work + work, excess: lightest.work}
	s.positions[key] = 0
	s.sink(0)
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

func (s *Sketch) swap(i, j int) {
	s.entries[i], s.entries[j] = s.entries[j], s.entries[i]
	s.positions[s.entries[i].key] = i
	s.positions[s.entries[j].key] = j
}

// rise restores the heap after the work of entry i fell.
func (s *Sketch) rise(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if s.entries[parent].work <= s.entries[i].work {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

// sink restores the heap after the work of entry i grew.
func (s *Sketch) sink(i int) {
	for {
		lightest := 2*i + 1
		if lightest >= len(s.entries) {
			return
		}
		if right := lightest + 1; right < len(s.entries) && s.entries[right].work < s.entries[lightest].work {
			lightest = right
		}
		if s.entries[i].work <= s.entries[lightest].work {
			return
		}
		s.swap(i, lightest)
		i = lightest
	}
}
