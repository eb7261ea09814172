package config

import (
	"cmp"
	"slices"
)

// transfer is a possible move of a partition to a cell with a higher score.
type transfer struct {
	partition int
	to        uint16
	// scoreRatio is the score of the new cell divided by that of the current one.
	scoreRatio float64
}

// meetQuotas moves partitions from cells above their quota to cells below it, in the order of scoreRatio.
func (p *placer) meetQuotas() {
	var transfers []transfer
	for partition, from := range p.assigned {
		if p.count[from] > p.quota[from] {
			transfers = p.appendTransfers(transfers, partition, from)
		}
	}
	slices.SortFunc(transfers, func(a, b transfer) int {
		return cmp.Or(cmp.Compare(a.scoreRatio, b.scoreRatio), cmp.Compare(a.partition, b.partition), cmp.Compare(a.to, b.to))
	})
	for _, t := range transfers {
		p.tryTransfer(t.partition, t.to)
	}
	p.transferRemaining()
}

func (p *placer) appendTransfers(transfers []transfer, partition int, from uint16) []transfer {
	candidates := p.candidatesOf(partition)
	index := slices.IndexFunc(candidates, func(c candidate) bool { return c.cell == from })
	currentScore := p.score(candidates[index])
	for _, c := range candidates {
		if p.count[c.cell] < p.quota[c.cell] {
			transfers = append(transfers, transfer{partition: partition, to: c.cell, scoreRatio: p.score(c) / currentScore})
		}
	}
	return transfers
}

// tryTransfer moves the partition if its current cell is above its quota and the cell to is below its quota.
// It reports whether it did.
func (p *placer) tryTransfer(partition int, to uint16) bool {
	from := p.assigned[partition]
	if p.count[from] <= p.quota[from] || p.count[to] >= p.quota[to] {
		return false
	}
	p.count[from]--
	p.count[to]++
	p.assigned[partition] = to
	return true
}

// transferRemaining moves partitions to any cells that are still below their quota because they are no candidate of a
// partition in a cell above its quota.
func (p *placer) transferRemaining() {
	to := 0
	for partition := range p.assigned {
		for to < len(p.quota) && p.count[to] >= p.quota[to] {
			to++
		}
		if to == len(p.quota) {
			return
		}
		p.tryTransfer(partition, uint16(to))
	}
}
