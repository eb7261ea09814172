package config

import (
	"cmp"
	"slices"
)

const (
	// maxCandidates is the maximum number of cells that are kept for each partition. The corrections rarely assign a
	// partition to a cell past the first few.
	maxCandidates = 8
	// maxCorrectionRounds limits the corrections of the score factors. Remaining deviations from the quotas are
	// corrected by moving single partitions.
	maxCorrectionRounds = 32
	// maxCorrectionFactor limits one correction, so that a cell without partitions does not attract all of them.
	maxCorrectionFactor = 2.0
)

// candidate is one of the cells with the lowest scores for a partition.
type candidate struct {
	cell uint16
	// variate is an exponentially distributed pseudo-random number, independent for each pair of partition and cell.
	variate float64
}

// placer computes the placement of one service. A partition is assigned to the candidate with the lowest score, which
// is variate × score factor.
type placer struct {
	// quota and count hold the wanted and current number of partitions of each cell.
	quota        []int
	count        []int
	scoreFactors []float64
	assigned     []uint16
	// candidates holds candidatesPerPartition entries for each partition, ordered by the initial scores.
	candidates             []candidate
	candidatesPerPartition int
}

func newPlacer(s *Service, cells []string, weights []float64) *placer {
	p := &placer{
		quota:                  apportion(s.Partitions, weights, nil),
		count:                  make([]int, len(cells)),
		scoreFactors:           make([]float64, len(cells)),
		assigned:               make([]uint16, s.Partitions),
		candidatesPerPartition: min(maxCandidates, len(cells)),
	}
	for i, weight := range weights {
		p.scoreFactors[i] = 1 / weight
	}
	p.candidates = make([]candidate, 0, s.Partitions*p.candidatesPerPartition)
	hashes := newRendezvousHash(s.Name, cells)
	for partition := range s.Partitions {
		p.appendCandidates(partition, hashes)
	}
	return p
}

// appendCandidates appends the cells with the lowest scores for one partition. It compares a lower bound of the score
// first, to avoid computing logarithms for cells that cannot be among them.
func (p *placer) appendCandidates(partition int, hashes rendezvousHash) {
	start := len(p.candidates)
	for cell, factor := range p.scoreFactors {
		hash := hashes.hash(partition, cell)
		if p.hasAllCandidates(start) && exponentialLowerBound(hash)*factor >= p.score(p.candidates[len(p.candidates)-1]) {
			continue
		}
		p.insertCandidate(start, candidate{cell: uint16(cell), variate: exponentialVariate(hash)})
	}
}

// hasAllCandidates reports whether the partition whose candidates begin at start has candidatesPerPartition of them.
func (p *placer) hasAllCandidates(start int) bool {
	return len(p.candidates)-start == p.candidatesPerPartition
}

// insertCandidate inserts c into the candidates from start on, which are ordered by score. It drops the highest score
// if there are more than candidatesPerPartition.
func (p *placer) insertCandidate(start int, c candidate) {
	at := len(p.candidates)
	for at > start && p.score(c) < p.score(p.candidates[at-1]) {
		at--
	}
	if at-start >= p.candidatesPerPartition {
		return
	}
	if !p.hasAllCandidates(start) {
		p.candidates = append(p.candidates, candidate{})
	}
	copy(p.candidates[at+1:], p.candidates[at:len(p.candidates)-1])
	p.candidates[at] = c
}

func (p *placer) score(c candidate) float64 { return c.variate * p.scoreFactors[c.cell] }

func (p *placer) candidatesOf(partition int) []candidate {
	return p.candidates[partition*p.candidatesPerPartition : (partition+1)*p.candidatesPerPartition]
}

// correctScoreFactors assigns all partitions and corrects the score factors, until each cell has its quota or
// maxCorrectionRounds is reached.
func (p *placer) correctScoreFactors() {
	for range maxCorrectionRounds {
		p.assignPartitions()
		if slices.Equal(p.count, p.quota) {
			return
		}
		for i := range p.scoreFactors {
			p.scoreFactors[i] *= correctionFactor(p.count[i], p.quota[i])
		}
	}
	p.assignPartitions()
}

func correctionFactor(count, quota int) float64 {
	if quota == 0 {
		return maxCorrectionFactor
	}
	return min(max(float64(count)/float64(quota), 1/maxCorrectionFactor), maxCorrectionFactor)
}

func (p *placer) assignPartitions() {
	clear(p.count)
	for partition := range p.assigned {
		lowest := slices.MinFunc(p.candidatesOf(partition), func(a, b candidate) int {
			return cmp.Compare(p.score(a), p.score(b))
		})
		p.assigned[partition] = lowest.cell
		p.count[lowest.cell]++
	}
}
