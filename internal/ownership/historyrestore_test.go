package ownership

import (
	"maps"
	"slices"
	"time"
)

// continueRestored returns an assigner that continues from the restored table, or from the last one that was recorded. In
// the latter case it learns so a little later.
func (h *history) continueRestored(settings Settings) *Assigner {
	if h.random.IntN(2) == 0 {
		return NewAssignerFromRestoredTable(settings, h.table, h.era, h.knownLeaders(), h.now)
	}
	a := NewAssignerFromRestoredTable(settings, h.last, h.era, h.knownLeaders(), h.now)
	h.schedule(h.randomDelay(time.Second), a.ConfirmTable)
	return a
}

// knownLeaders returns the hosts of the processes that may still act, or none if the new process has not seen them.
func (h *history) knownLeaders() []string {
	if h.random.IntN(2) == 0 {
		return nil
	}
	var hosts []string
	for _, term := range slices.Sorted(maps.Keys(h.processes)) {
		hosts = append(hosts, hostOf(term))
	}
	return hosts
}

// restore lets the store come back from an earlier copy. The elected process reclaims its record, or another one is
// elected.
func (h *history) restore() {
	if h.copied == nil {
		return
	}
	h.era++
	h.table = h.copied
	h.revision++
	if h.random.IntN(2) == 0 {
		h.elect()
		return
	}
	p := h.processes[h.term]
	p.era, p.revision = h.era, h.revision
	p.assigner.MarkUnrecorded()
}

// withoutFormer returns a table as gateways know it that only route requests.
func withoutFormer(table *Table) *Table {
	known := *table
	known.Rows = slices.Clone(table.Rows)
	for i := range known.Rows {
		if len(known.Rows[i].Former) > 0 {
			known.Rows[i].Former = []FormerHolder{unknownFormer}
		}
	}
	return &known
}
