package controlcost

import (
	"container/heap"
	"time"
)

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// queue orders events by time; events of the same time keep their order.
type queue struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// after runs f once d has passed.
func (q *queue) after(d time.Duration, f func()) {
	q.seq++
	heap.Push(&q.events, event{at: q.now + d, seq: q.seq, run: f})
}

// run lets time pass.
func (q *queue) run(d time.Duration) {
	end := q.now + d
	for len(q.events) > 0 && q.events[0].at <= end {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = end
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
