package config

import (
	"cmp"
	"slices"
)

// transfer moves a partition to a cell that is not its cheapest.
type transfer struct {
	partition int
	to        uint16
	// regret is the ratio of the costs of the two cells.
	regret float64
}

// repair moves partitions from cells above their quota to cells below it, the cheapest first.
func (p *placer) repair() {
	var transfers []transfer
	for partition, from := range p.chosen {
		if p.count[from] > p.quota[from] {
			transfers = p.appendTransfers(transfers, partition, from)
		}
	}
	slices.SortFunc(transfers, func(a, b transfer) int {
		return cmp.Or(cmp.Compare(a.regret, b.regret), cmp.Compare(a.partition, b.partition), cmp.Compare(a.to, b.to))
	})
	for _, t := range transfers {
		p.apply(t.partition, t.to)
	}
	p.repairAnywhere()
}

func (p *placer) appendTransfers(transfers []transfer, partition int, from uint16) []transfer {
	candidates := p.candidatesOf(partition)
	at := slices.IndexFunc(candidates, func(c candidate) bool { return c.cell == from })
	own := p.cost(candidates[at])
	for _, c := range candidates {
		if p.count[c.cell] < p.quota[c.cell] {
			transfers = append(transfers, transfer{partition: partition, to: c.cell, regret: p.cost(c) / own})
		}
	}
	return transfers
}

// apply moves the partition if its cell is above its quota and the other below.
func (p *placer) apply(partition int, to uint16) bool {
	from := p.chosen[partition]
	if p.count[from] <= p.quota[from] || p.count[to] >= p.quota[to] {
		return false
	}
	p.count[from]--
	p.count[to]++
	p.chosen[partition] = to
	return true
}

// repairAnywhere serves cells that are no candidate of any partition in a cell above its quota.
func (p *placer) repairAnywhere() {
	to := 0
	for partition := range p.chosen {
		for to < len(p.quota) && p.count[to] >= p.quota[to] {
			to++
		}
		if to == len(p.quota) {
			return
		}
		p.apply(partition, uint16(to))
	}
}
