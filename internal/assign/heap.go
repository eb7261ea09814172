package assign

// serverHeap orders servers by a key, least first, and can move one server after its key changed. The key of a
// maximum heap is negated by the caller.
type serverHeap struct {
	servers []int32
	keys    []float64
	// position holds the place of each server in servers, or -1.
	position []int32
}

func newServerHeap(count int) *serverHeap {
	h := &serverHeap{keys: make([]float64, count), position: make([]int32, count)}
	for i := range h.position {
		h.position[i] = -1
	}
	return h
}

func (h *serverHeap) len() int {
	return len(h.servers)
}

func (h *serverHeap) top() int32 {
	return h.servers[0]
}

// set adds a server or changes its key.
func (h *serverHeap) set(server int32, key float64) {
	h.keys[server] = key
	if h.position[server] < 0 {
		h.position[server] = int32(len(h.servers))
		h.servers = append(h.servers, server)
	}
	h.up(int(h.position[server]))
	h.down(int(h.position[server]))
}

// remove takes a server out, if it is in the heap.
func (h *serverHeap) remove(server int32) {
	at := h.position[server]
	if at < 0 {
		return
	}
	last := len(h.servers) - 1
	h.swap(int(at), last)
	h.servers = h.servers[:last]
	h.position[server] = -1
	if int(at) < last {
		h.up(int(at))
		h.down(int(at))
	}
}

func (h *serverHeap) less(i, j int) bool {
	a, b := h.servers[i], h.servers[j]
	if h.keys[a] != h.keys[b] {
		return h.keys[a] < h.keys[b]
	}
	return a < b
}

func (h *serverHeap) swap(i, j int) {
	h.servers[i], h.servers[j] = h.servers[j], h.servers[i]
	h.position[h.servers[i]] = int32(i)
	h.position[h.servers[j]] = int32(j)
}

func (h *serverHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *serverHeap) down(i int) {
	for {
		least := 2*i + 1
		if least >= len(h.servers) {
			return
		}
		if right := least + 1; right < len(h.servers) && h.less(right, least) {
			least = right
		}
		if !h.less(least, i) {
			return
		}
		h.swap(i, least)
		i = least
	}
}
