package config

import "github.com/sapphireplank/sapphireplank/internal/keyspace"

// unassigned marks a partition whose previous cell no longer exists.
const unassigned = -1

// rebalance computes a placement in which every cell has exactly its quota of partitions, moving as few partitions of
// the previous placement as possible.
func rebalance(previous *Placement, partitions int, cells []string, weights []float64) *Placement {
	index := make(map[string]int, len(cells))
	for i, cell := range cells {
		index[cell] = i
	}
	assigned := make([]int, partitions)
	counts := make([]int, len(cells))
	for p := range assigned {
		assigned[p] = unassigned
		if cell, ok := index[previous.Cell(keyspace.Partition(p))]; ok {
			assigned[p] = cell
			counts[cell]++
		}
	}
	spareQuota := apportion(partitions, weights, counts)
	for i := range spareQuota {
		spareQuota[i] -= counts[i]
	}
	next := &Placement{Cells: cells, ByPartition: make([]uint16, partitions)}
	target := 0
	for p, cell := range assigned {
		if cell == unassigned || spareQuota[cell] < 0 {
			target = nextCellBelowQuota(spareQuota, target)
			if cell != unassigned {
				spareQuota[cell]++
			}
			spareQuota[target]--
			cell = target
		}
		next.ByPartition[p] = uint16(cell)
	}
	return next
}

// nextCellBelowQuota returns the first cell after last, in cyclic order, that is below its quota. One exists while any
// partition has to move, because the quotas add up to the number of partitions.
func nextCellBelowQuota(spareQuota []int, last int) int {
	for i := range spareQuota {
		if next := (last + 1 + i) % len(spareQuota); spareQuota[next] > 0 {
			return next
		}
	}
	return last
}
