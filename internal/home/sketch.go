package home

import (
	"container/heap"
	"slices"
)

// sketch finds the most frequent keys in constant memory by the space-saving algorithm: a key without a counter takes
// over the smallest counter, so its count is too high by at most the count that it took over.
type sketch struct {
	limit    int
	counters map[string]*keyCounter
	minHeap  counterHeap
}

type keyCounter struct {
	key       string
	count     uint64
	error     uint64
	heapIndex int
}

func newSketch(limit int) *sketch {
	return &sketch{limit: limit, counters: make(map[string]*keyCounter, limit)}
}

// add counts one request for key.
func (s *sketch) add(key string) {
	if counter := s.counters[key]; counter != nil {
		counter.count++
		heap.Fix(&s.minHeap, counter.heapIndex)
		return
	}
	if len(s.minHeap) < s.limit {
		counter := &keyCounter{key: key, count: 1}
		s.counters[key] = counter
		heap.Push(&s.minHeap, counter)
		return
	}
	counter := s.minHeap[0]
	delete(s.counters, counter.key)
	s.counters[key] = counter
	counter.key = key
	counter.error = counter.count
	counter.count++
	heap.Fix(&s.minHeap, 0)
}

// take returns the counted keys, most frequent first, and resets the counts.
func (s *sketch) take() []HotKey {
	keys := make([]HotKey, 0, len(s.minHeap))
	for _, counter := range s.minHeap {
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
	s.minHeap = s.minHeap[:0]
	return keys
}

// counterHeap implements heap.Interface, with the smallest count first.
type counterHeap []*keyCounter

// Len returns the number of counters.
func (h counterHeap) Len() int { return len(h) }

// Less orders by count.
func (h counterHeap) Less(i, j int) bool { return h[i].count < h[j].count }

// Swap exchanges two counters.
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a counter.
func (h *counterHeap) Push(x any) {
	counter := x.(*keyCounter)
	counter.heapIndex = len(*h)
	*h = append(*h, counter)
}

// Pop removes the last counter.
func (h *counterHeap) Pop() any {
	last := len(*h) - 1
	counter := (*h)[last]
	*h = (*h)[:last]
	return counter
}
