package control

import (
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Guards against partitions that home gateways did not report being treated as idle, which would assign too many of
// them to one server.
func TestUnreportedPartitionsShareRemainingLoad(t *testing.T) {
	loads := partitionLoads(cell.AssignRequest{
		Servers:  []cell.AssignServer{{Name: "a", State: cell.ServerUp, Load: 3}, {Name: "b", State: cell.ServerUp}},
		Previous: []int{0, 0, 0, 1, cell.Unowned},
		Placed:   []bool{true, true, true, true, true},
		Load:     []float64{2, 0, 0, 0, 0},
	})
	want := []float64{2, 0.5, 0.5, 0, 0}
	for i, load := range loads {
		if load.Load != want[i] {
			t.Errorf("partition %d has load %v, want %v", i, load.Load, want[i])
		}
	}
}

// Guards against errors in the conversion between the types of cell and assign: confused server indexes, or a lost
// owner of a partition that the policy does not move.
func TestAssignerKeepsOwnersAndAssignsUnownedPartitions(t *testing.T) {
	a := NewAssigner()
	a.Configure(&config.Config{Services: []config.Service{{Name: "s", Keyed: true, Slots: 3}}})
	r := cell.AssignRequest{
		Service:  "s",
		Servers:  []cell.AssignServer{{Name: "a", State: cell.ServerUp, Weight: 1}, {Name: "b", State: cell.ServerDown, Weight: 1}},
		Previous: []int{0, 1, cell.Unowned, cell.Unowned},
		Placed:   []bool{true, true, true, false},
	}
	result := a.Next(r)
	for p, want := range []int{0, 0, 0, cell.Unowned} {
		if result.Owners[p] != want {
			t.Errorf("partition %d is assigned to server %d, want %d", p, result.Owners[p], want)
		}
	}
}
