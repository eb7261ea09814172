package assign

import "math"

// serverHeap orders servers by a key, least first, and can move one server after its key changed. The key of a
// maximum heap is negated by the caller.
//
// An entry holds the key in single precision in its upper half and the server in its lower half, so that one integer
// comparison orders entries and breaks ties.
type serverHeap struct {
	entries []uint64
	// position holds the place of each server in entries, or -1.
	position []int32
}

// heapEntry returns the entry of a server. The bits of a float order like an integer after the sign is mapped.
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

// set adds a server or changes its key.
func (h *serverHeap) set(server int32, key float64) {
	at := int(h.position[server])
	if at < 0 {
		at = len(h.entries)
		h.entries = append(h.entries, 0)
	}
	h.restore(at, heapEntry(server, key))
}

// remove takes a server out, if it is in the heap.
func (h *serverHeap) remove(server int32) {
	at := int(h.position[server])
	if at < 0 {
		return
	}
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	h.position[server] = -1
	if at < len(h.entries) {
		h.restore(at, last)
	}
}

// restore puts an entry at the free place at, or where the order wants it.
func (h *serverHeap) restore(at int, entry uint64) {
	for at > 0 && entry < h.entries[(at-1)/2] {
		h.place(at, h.entries[(at-1)/2])
		at = (at - 1) / 2
	}
	for {
		child := 2*at + 1
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
		h.place(at, least)
		at = child
	}
	h.place(at, entry)
}

func (h *serverHeap) place(at int, entry uint64) {
	h.entries[at] = entry
	h.position[uint32(entry)] = int32(at)
}
