package gateway

import (
	"sync/atomic"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// homeCache caches the home gateway of each partition of other cells, learned from responses, so that later requests
// are forwarded directly to it. A stale entry costs one additional hop.
type homeCache struct {
	byPartition []atomic.Pointer[string]
}

func newHomeCache(partitions int) *homeCache {
	return &homeCache{byPartition: make([]atomic.Pointer[string], partitions)}
}

func (h *homeCache) get(p keyspace.Partition) string {
	if host := h.byPartition[p].Load(); host != nil {
		return *host
	}
	return ""
}

func (h *homeCache) set(p keyspace.Partition, host string) {
	if h.get(p) != host {
		h.byPartition[p].Store(&host)
	}
}

func (h *homeCache) invalidate(p keyspace.Partition) { h.byPartition[p].Store(nil) }
