package relay

import (
	"maps"
	"slices"
	"sync"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// ReportBuffer collects request counts and refusals until the next report. It is safe for concurrent use.
type ReportBuffer struct {
	// mu protects the fields below.
	mu       sync.Mutex
	counts   map[string]map[int]int
	refusals []*wire.RefusedKey
}

// maxRefusals bounds the refusals in one report. The rest can be dropped, because a refusal only speeds up a grant.
const maxRefusals = 32

// NewReportBuffer returns an empty buffer.
func NewReportBuffer() *ReportBuffer { return &ReportBuffer{counts: make(map[string]map[int]int)} }

// AddRequest counts a request for a key.
func (r *ReportBuffer) AddRequest(service string, key int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := r.counts[service]
	if keys == nil {
		keys = make(map[int]int)
		r.counts[service] = keys
	}
	keys[key]++
}

// AddRefusal records that the owner of a key refused a request for it.
func (r *ReportBuffer) AddRefusal(service string, key int, owner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.refusals) < maxRefusals {
		r.refusals = append(r.refusals, &wire.RefusedKey{Service: service, Key: uint32(key), Owner: owner})
	}
}

// Drain returns what was collected and empties the buffer.
func (r *ReportBuffer) Drain() ([]*wire.KeyCounts, []*wire.RefusedKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var counts []*wire.KeyCounts
	for _, service := range slices.Sorted(maps.Keys(r.counts)) {
		message := &wire.KeyCounts{Service: service}
		for key, count := range r.counts[service] {
			message.Keys = append(message.Keys, uint32(key))
			message.Counts = append(message.Counts, uint32(count))
		}
		counts = append(counts, message)
	}
	refusals := r.refusals
	clear(r.counts)
	r.refusals = nil
	return counts, refusals
}
