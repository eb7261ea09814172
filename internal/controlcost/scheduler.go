package controlcost

import (
	"container/heap"
	"time"
)

// event is an action at a point in simulated time. seq orders events of the same time.
type event struct {
	at     time.Duration
	seq    uint64
	action func()
}

// scheduler runs events in the order of simulated time; events of the same time run in the order in which they were
// scheduled.
type scheduler struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// after schedules f to run once d has passed.
func (s *scheduler) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, action: f})
}

// advance runs all events of the next d of simulated time.
func (s *scheduler) advance(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	s.now = end
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}
