package home

import (
	"container/heap"
	"slices"
)

// sketch finds the most frequent keys in constant memory by the space-saving algorithm: a key that has no
// counter takes over the smallest one, and its count is too great by at most the count it took over.
type sketch struct {
	limit    int
	counters map[string]*keyCounter
	smallest counterHeap
}

type keyCounter struct {
	key   string
	count uint64
	error uint64
	place int
}

func newSketch(limit int) *sketch {
	return &sketch{limit: limit, counters: make(map[string]*keyCounter, limit)}
}

// add counts one request of key.
func (s *sketch) add(key string) {
	if counter := s.counters[key]; counter != nil {
		counter.count++
		heap.Fix(&s.smallest, counter.place)
		return
	}
	if len(s.smallest) < s.limit {
		counter := &keyCounter{key: key, count: 1}
		s.counters[key] = counter
		heap.Push(&s.smallest, counter)
		return
	}
	counter := s.smallest[0]
	delete(s.counters, counter.key)
	s.counters[key] = counter
	counter.key = key
	counter.error = counter.count
	counter.count++
	heap.Fix(&s.smallest, 0)
}

// take returns the counted keys, the most frequent first, and starts again.
func (s *sketch) take() []HotKey {
	keys := make([]HotKey, 0, len(s.smallest))
	for _, counter := range s.smallest {
		keys = append(keys, HotKey{Key: counter.key, Requests: counter.count, Error: counter.error})
	}
	slices.SortFunc(keys, func(a, b HotKey) int {
		if a.Requests != b.Requests {
			return int(b.Requests) - int(a.Requests)
		}
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	clear(s.counters)
	s.smallest = s.smallest[:0]
	return keys
}

// counterHeap is a container/heap of counters, the smallest count first.
type counterHeap []*keyCounter

// Len returns the number of counters.
func (h counterHeap) Len() int { return len(h) }

// Less orders by count.
func (h counterHeap) Less(i, j int) bool { return h[i].count < h[j].count }

// Swap exchanges two counters.
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

// Push appends a counter.
func (h *counterHeap) Push(x any) {
	counter := x.(*keyCounter)
	counter.place = len(*h)
	*h = append(*h, counter)
}

// Pop removes the last counter.
func (h *counterHeap) Pop() any {
	last := len(*h) - 1
	counter := (*h)[last]
	*h = (*h)[:last]
	return counter
}
