package config

import (
	"cmp"
	"slices"
)

const (
	// maxCandidates bounds the cells that are kept for each partition. The correction of the weights rarely
	// reaches past the first few.
	maxCandidates = 8
	// settleRounds bounds the corrections of the weights. What they leave is repaired one partition at a time.
	settleRounds = 32
	// maxCorrection bounds one correction, so that a cell without partitions does not take all of them.
	maxCorrection = 2.0
)

// candidate is a cell that a partition may go to.
type candidate struct {
	cell uint16
	// distance is exponentially distributed and independent for each pair of partition and cell.
	distance float64
}

// placer computes one placement. A partition goes to the candidate with the smallest distance × cost.
type placer struct {
	quota  []int
	count  []int
	costs  []float64
	chosen []uint16
	// candidates holds perPartition entries for each partition.
	candidates   []candidate
	perPartition int
}

func newPlacer(s *Service, cells []string, weights []float64) *placer {
	p := &placer{
		quota:        quotas(s.Partitions, weights, nil),
		count:        make([]int, len(cells)),
		costs:        make([]float64, len(cells)),
		chosen:       make([]uint16, s.Partitions),
		perPartition: min(maxCandidates, len(cells)),
	}
	for i, weight := range weights {
		p.costs[i] = 1 / weight
	}
	p.candidates = make([]candidate, 0, s.Partitions*p.perPartition)
	distances := newDistances(s.Name, cells)
	for partition := range s.Partitions {
		p.keepNearest(partition, distances)
	}
	return p
}

// keepNearest appends the candidates of one partition.
func (p *placer) keepNearest(partition int, distances distances) {
	start := len(p.candidates)
	for cell, cost := range p.costs {
		uniform := distances.uniform(partition, cell)
		if p.isFull(start) && leastDistance(uniform)*cost >= p.cost(p.candidates[len(p.candidates)-1]) {
			continue
		}
		p.insert(start, candidate{cell: uint16(cell), distance: distance(uniform)})
	}
}

// isFull reports whether the candidates from start on are as many as are kept.
func (p *placer) isFull(start int) bool { return len(p.candidates)-start == p.perPartition }

// insert puts c into the ordered candidates from start on, unless they are full and nearer.
func (p *placer) insert(start int, c candidate) {
	at := len(p.candidates)
	for at > start && p.cost(c) < p.cost(p.candidates[at-1]) {
		at--
	}
	if at-start >= p.perPartition {
		return
	}
	if !p.isFull(start) {
		p.candidates = append(p.candidates, candidate{})
	}
	copy(p.candidates[at+1:], p.candidates[at:len(p.candidates)-1])
	p.candidates[at] = c
}

func (p *placer) cost(c candidate) float64 { return c.distance * p.costs[c.cell] }

func (p *placer) candidatesOf(partition int) []candidate {
	return p.candidates[partition*p.perPartition : (partition+1)*p.perPartition]
}

// settle corrects the costs until each cell has its quota or the rounds are over.
func (p *placer) settle() {
	for range settleRounds {
		p.choose()
		if slices.Equal(p.count, p.quota) {
			return
		}
		for i := range p.costs {
			p.costs[i] *= correction(p.count[i], p.quota[i])
		}
	}
	p.choose()
}

func correction(count, quota int) float64 {
	if quota == 0 {
		return maxCorrection
	}
	return min(max(float64(count)/float64(quota), 1/maxCorrection), maxCorrection)
}

func (p *placer) choose() {
	clear(p.count)
	for partition := range p.chosen {
		best := slices.MinFunc(p.candidatesOf(partition), func(a, b candidate) int { return cmp.Compare(p.cost(a), p.cost(b)) })
		p.chosen[partition] = best.cell
		p.count[best.cell]++
	}
}
