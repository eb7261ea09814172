package ownership

import (
	"fmt"
	"time"
)

// checkSingleOwner returns an error if a key has more than one owner.
func (h *history) checkSingleOwner() error {
	for key := range historySettings.Keys {
		var holders []string
		for _, s := range h.servers {
			if s.owns(key, h.now) {
				holders = append(holders, fmt.Sprintf("%s/%d", s.holder.ID, s.holder.StartedAtMs))
			}
		}
		if len(holders) > 1 {
			return fmt.Errorf("at %v key %d is held by %v", h.now, key, holders)
		}
	}
	return nil
}

// checkRecovery runs without faults, reassigns keys whose owner is down, and checks that every key ends up with its
// recorded owner.
func (h *history) checkRecovery(t testFailer) {
	h.faultRate = 0
	p := h.processes[h.term]
	for range int(45 * time.Second / tickInterval) {
		table, _ := p.assigner.Table(h.now)
		for _, row := range table.Rows {
			if row.Owner.IsZero() || !h.server(row.Owner).up {
				if to, ok := h.moveTarget(p); ok {
					p.assigner.Apply([]Move{{Keys: row.Keys, To: to}}, h.now)
				}
			}
		}
		p.assigner.RefreshRows(1 << 20)
		if err := h.advance(); err != nil {
			t.Fatal(err)
		}
	}
	for key := range historySettings.Keys {
		row := h.table.Find(key)
		if row.Moving || !h.server(row.Owner).owns(key, h.now) {
			t.Fatalf("key %d is not held by its recorded owner, row %+v", key, row)
		}
	}
}
