package config

import "github.com/sapphireplank/sapphireplank/internal/keyspace"

// unplaced marks a partition whose cell is gone or above its quota.
const unplaced = -1

// adjust returns the placement with exact shares that differs least from the previous one.
func adjust(previous *Placement, partitions int, cells []string, weights []float64) *Placement {
	index := make(map[string]int, len(cells))
	for i, cell := range cells {
		index[cell] = i
	}
	kept := make([]int, partitions)
	counts := make([]int, len(cells))
	for p := range kept {
		kept[p] = unplaced
		if cell, ok := index[previous.Cell(keyspace.Partition(p))]; ok {
			kept[p] = cell
			counts[cell]++
		}
	}
	room := quotas(partitions, weights, counts)
	for i := range room {
		room[i] -= counts[i]
	}
	next := &Placement{Cells: cells, ByPartition: make([]uint16, partitions)}
	receiver := 0
	for p, cell := range kept {
		if cell == unplaced || room[cell] < 0 {
			receiver = nextReceiver(room, receiver)
			if cell != unplaced {
				room[cell]++
			}
			room[receiver]--
			cell = receiver
		}
		next.ByPartition[p] = uint16(cell)
	}
	return next
}

// nextReceiver returns the next cell after the last one that is below its quota. There is one as long as a partition
// is left over, because the quotas add up to the number of partitions.
func nextReceiver(room []int, last int) int {
	for i := range room {
		if next := (last + 1 + i) % len(room); room[next] > 0 {
			return next
		}
	}
	return last
}
