package assign

import "sort"

// minImprovement is the minimum difference of relative load between the source before a move and the target after it.
const minImprovement = 0.002

// maxBalancePasses bounds the balancing passes of one round. Each pass that moves a unit lowers the sum of the squared
// loads, so that few passes suffice.
const maxBalancePasses = 8

// balance moves units away from overloaded servers and onto underloaded ones. Both kinds deviate from their fair share
// by more than StartThreshold. It stops when all of them are within StopThreshold, when no move improves the balance or
// when the move limit is reached.
func (r *round) balance() {
	r.findDeviations()
	if !r.hasDeviation() {
		return
	}
	first := 0
	if r.delaysPartitionMoves() {
		first = len(r.in.Partitions)
	}
	limit := r.tuning.moveLimit(len(r.units))
	for range maxBalancePasses {
		pass := newBalancePass(r, limit, first)
		moved := pass.run()
		limit -= moved
		if moved == 0 {
			return
		}
		if limit == 0 {
			r.deferred = true
			return
		}
		r.sumLoads()
	}
	r.deferred = true
}

// delaysPartitionMoves records since when servers deviate from their fair share and reports whether only hot keys may
// move yet.
func (r *round) delaysPartitionMoves() bool {
	now := max(r.in.Now, 1)
	r.unbalancedSince = r.in.UnbalancedSince
	if r.unbalancedSince <= 0 || r.unbalancedSince > now {
		r.unbalancedSince = now
	}
	return !hasElapsed(now, r.unbalancedSince, r.tuning.PartitionMoveDelay)
}

// balancePass moves each unit at most once.
type balancePass struct {
	round *round
	limit int
	// sources holds the servers that units can still move away from, targets those that can still receive units.
	sources *serverHeap
	targets *serverHeap
	owned   ownedUnits
}

// newBalancePass returns a pass over the units with an index of at least first.
func newBalancePass(r *round, limit, first int) *balancePass {
	pass := &balancePass{
		round:   r,
		limit:   limit,
		sources: newServerHeap(len(r.capacity)),
		targets: newServerHeap(len(r.capacity)),
		owned:   newOwnedUnits(r, first),
	}
	for server := range r.capacity {
		if r.capacity[server] > 0 {
			pass.sources.set(int32(server), -r.relativeLoad(int32(server)))
			pass.targets.set(int32(server), r.relativeLoad(int32(server)))
		}
	}
	return pass
}

// run moves units until the servers are within StopThreshold of their fair share and returns the number of moves.
func (p *balancePass) run() int {
	moved := 0
	for moved < p.limit && p.sources.len() > 0 && p.targets.len() > 0 {
		from, to := p.sources.top(), p.targets.top()
		if p.isBalanced(from, to) {
			break
		}
		index, ok := p.selectUnit(from, to)
		if !ok {
			p.exclude(from, to)
			continue
		}
		p.move(p.owned.remove(from, index), from, to)
		moved++
	}
	return moved
}

// isBalanced reports whether neither from, the most loaded server, nor to, the least loaded one, needs a move.
func (p *balancePass) isBalanced(from, to int32) bool {
	r := p.round
	sourceDeviates := r.overloaded[from] && r.relativeLoad(from) > 1+r.tuning.StopThreshold
	targetDeviates := r.underloaded[to] && r.relativeLoad(to) < 1-r.tuning.StopThreshold
	return !sourceDeviates && !targetDeviates
}

// selectUnit returns the index of the unit to move from the server from to the server to. It is the heaviest unit whose
// move leaves the source with at least its fair share less StopThreshold, or else the lightest of the heavier ones.
// selectUnit returns false if no move improves the balance of the two servers.
func (p *balancePass) selectUnit(from, to int32) (int, bool) {
	r := p.round
	share := r.fairShare * r.capacity[from]
	excess := r.load[from] - share*(1-r.tuning.StopThreshold)
	if r.isRamping(to) {
		// The largest measured loads are partly sampling noise. A ramping server that received only those units would
		// become underloaded as their measured loads regress to the mean.
		excess = min(excess, r.meanPartitionLoad)
	}
	units := p.owned.unitsOf(r, from)
	first := sort.Search(len(units), func(i int) bool { return r.units[units[i]].load <= excess })
	for i := first; i < len(units); i++ {
		if p.improvesBalance(units[i], from, to) {
			return i, true
		}
	}
	if first == 0 {
		return 0, false
	}
	return first - 1, p.improvesBalance(units[first-1], from, to)
}

// improvesBalance reports whether moving a unit leaves the target with a lower relative load than the source has now,
// by more than minImprovement.
func (p *balancePass) improvesBalance(i, from, to int32) bool {
	r := p.round
	after := (r.load[to] + r.units[i].load) / (r.capacity[to] * r.fairShare)
	return r.units[i].load > 0 && after < r.relativeLoad(from)-minImprovement
}

// exclude removes one of two servers between which no move is possible. A target with less capacity than the source is
// removed first, because a larger target may be able to take the unit.
func (p *balancePass) exclude(from, to int32) {
	if p.round.capacity[to] < p.round.capacity[from] {
		p.targets.remove(to)
		return
	}
	p.sources.remove(from)
}

func (p *balancePass) move(i, from, to int32) {
	p.round.moveUnit(i, to)
	p.updateHeaps(from)
	p.updateHeaps(to)
}

func (p *balancePass) updateHeaps(server int32) {
	ratio := p.round.relativeLoad(server)
	if p.sources.position[server] >= 0 {
		p.sources.set(server, -ratio)
	}
	if p.targets.position[server] >= 0 {
		p.targets.set(server, ratio)
	}
}
