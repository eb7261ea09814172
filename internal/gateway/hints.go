package gateway

import (
	"sync/atomic"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// hints remembers which gateway answered for a partition of another cell, so that the next request goes there
// directly. A wrong hint costs one more hop.
type hints struct {
	byPartition []atomic.Pointer[string]
}

func newHints(partitions int) *hints {
	return &hints{byPartition: make([]atomic.Pointer[string], partitions)}
}

func (h *hints) get(p keyspace.Partition) string {
	if host := h.byPartition[p].Load(); host != nil {
		return *host
	}
	return ""
}

func (h *hints) set(p keyspace.Partition, host string) {
	if h.get(p) != host {
		h.byPartition[p].Store(&host)
	}
}

func (h *hints) clear(p keyspace.Partition) { h.byPartition[p].Store(nil) }
