package assign

// serverHeap orders servers by a key, least first, and can move one server after its key changed. The key of a
// maximum heap is negated by the caller.
type serverHeap struct {
	entries []heapEntry
	// position holds the place of each server in entries, or -1.
	position []int32
}

// heapEntry keeps the key beside the server, so that comparisons stay within the heap.
type heapEntry struct {
	key    float64
	server int32
}

func (e heapEntry) less(other heapEntry) bool {
	if e.key != other.key {
		return e.key < other.key
	}
	return e.server < other.server
}

func newServerHeap(count int) *serverHeap {
	h := &serverHeap{entries: make([]heapEntry, 0, count), position: make([]int32, count)}
	for i := range h.position {
		h.position[i] = -1
	}
	return h
}

func (h *serverHeap) len() int {
	return len(h.entries)
}

func (h *serverHeap) top() int32 {
	return h.entries[0].server
}

// set adds a server or changes its key.
func (h *serverHeap) set(server int32, key float64) {
	at := int(h.position[server])
	if at < 0 {
		at = len(h.entries)
		h.entries = append(h.entries, heapEntry{})
	}
	h.restore(at, heapEntry{key: key, server: server})
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
func (h *serverHeap) restore(at int, entry heapEntry) {
	for at > 0 && entry.less(h.entries[(at-1)/2]) {
		h.place(at, h.entries[(at-1)/2])
		at = (at - 1) / 2
	}
	for {
		least := 2*at + 1
		if least >= len(h.entries) {
			break
		}
		if right := least + 1; right < len(h.entries) && h.entries[right].less(h.entries[least]) {
			least = right
		}
		if !h.entries[least].less(entry) {
			break
		}
		h.place(at, h.entries[least])
		at = least
	}
	h.place(at, entry)
}

func (h *serverHeap) place(at int, entry heapEntry) {
	h.entries[at] = entry
	h.position[entry.server] = int32(at)
}
