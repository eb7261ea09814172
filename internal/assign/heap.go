package assign

import "math"

// serverHeap is an indexed binary min-heap of servers that supports updates of a key. For a max-heap, callers negate
// the keys.
//
// An entry holds the key in single precision in its upper 32 bits and the server in its lower 32 bits, so that a
// single integer comparison orders entries and breaks ties.
type serverHeap struct {
	entries []uint64
	// position holds the index of each server in entries, or -1.
	position []int32
}

// heapEntry returns the entry of a server. Flipping the sign bit of positive numbers and all bits of negative
// ones makes the bits of floats order like unsigned integers.
func heapEntry(server int32, key float64) uint64 {
	bits := math.Float32bits(float32(key))
	if bits>>31 == 0 {
		bits |= 1 << 31
	} else {
		bits = ^bits
	}
	return uint64(bits)<<32 | uint64(uint32(server))
}

func newServerHeap(count int) *serverHeap {
	h := &serverHeap{entries: make([]uint64, 0, count), position: make([]int32, count)}
	for i := range h.position {
		h.position[i] = -1
	}
	return h
}

func (h *serverHeap) len() int {
	return len(h.entries)
}

func (h *serverHeap) top() int32 {
	return int32(uint32(h.entries[0]))
}

// set inserts a server or updates its key.
func (h *serverHeap) set(server int32, key float64) {
	index := int(h.position[server])
	if index < 0 {
		index = len(h.entries)
		h.entries = append(h.entries, 0)
	}
	h.fix(index, heapEntry(server, key))
}

// remove deletes a server if it is in the heap.
func (h *serverHeap) remove(server int32) {
	index := int(h.position[server])
	if index < 0 {
		return
	}
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	h.position[server] = -1
	if index < len(h.entries) {
		h.fix(index, last)
	}
}

// fix fills the vacant index with an entry and sifts it up or down to restore the heap order.
func (h *serverHeap) fix(index int, entry uint64) {
	for index > 0 && entry < h.entries[(index-1)/2] {
		h.place(index, h.entries[(index-1)/2])
		index = (index - 1) / 2
	}
	for {
		child := 2*index + 1
		if child >= len(h.entries) {
			break
		}
		least := h.entries[child]
		if child+1 < len(h.entries) {
			if right := h.entries[child+1]; right < least {
				least, child = right, child+1
			}
		}
		if least >= entry {
			break
		}
		h.place(index, least)
		index = child
	}
	h.place(index, entry)
}

func (h *serverHeap) place(index int, entry uint64) {
	h.entries[index] = entry
	h.position[uint32(entry)] = int32(index)
}
