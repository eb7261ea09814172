package assign

import "sort"

// minGain is the least difference of load, relative to the share, that a move must remove.
const minGain = 0.002

// maxPasses bounds the passes of one round. Each pass that moves something lowers the sum of the squared loads, so
// few passes are needed.
const maxPasses = 8

// balance moves units away from servers whose load is above their share by more than StartAt, and to servers whose
// load is below it by more than StartAt, until they are near their share, no move helps or the limit is reached.
func (r *round) balance() {
	r.findDeviations()
	if !r.deviates() {
		return
	}
	first := 0
	if r.waitsForKeys() {
		first = len(r.in.Partitions)
	}
	limit := r.tuning.moveLimit(len(r.units))
	for range maxPasses {
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

// waitsForKeys records since when the servers deviate and reports whether only hot keys may move.
func (r *round) waitsForKeys() bool {
	now := max(r.in.Now, 1)
	r.unbalancedSince = r.in.UnbalancedSince
	if r.unbalancedSince <= 0 || r.unbalancedSince > now {
		r.unbalancedSince = now
	}
	return !hasPassed(now, r.unbalancedSince, r.tuning.PartitionMoveDelay)
}

// balancePass moves each unit at most once.
type balancePass struct {
	round *round
	limit int
	// donors and receivers hold the servers that can still give and take.
	donors    *serverHeap
	receivers *serverHeap
	owned     ownedUnits
}

// newBalancePass returns a pass over the units from first on.
func newBalancePass(r *round, limit, first int) *balancePass {
	pass := &balancePass{
		round:     r,
		limit:     limit,
		donors:    newServerHeap(len(r.capacity)),
		receivers: newServerHeap(len(r.capacity)),
		owned:     newOwnedUnits(r, first),
	}
	for server := range r.capacity {
		if r.capacity[server] > 0 {
			pass.donors.set(int32(server), -r.ratio(int32(server)))
			pass.receivers.set(int32(server), r.ratio(int32(server)))
		}
	}
	return pass
}

// run moves units until the servers are near their shares and returns the number of moves.
func (p *balancePass) run() int {
	moved := 0
	for moved < p.limit && p.donors.len() > 0 && p.receivers.len() > 0 {
		from, to := p.donors.top(), p.receivers.top()
		if p.isBalanced(from, to) {
			break
		}
		at, ok := p.pick(from, to)
		if !ok {
			p.dismiss(from, to)
			continue
		}
		p.move(p.owned.take(from, at), from, to)
		moved++
	}
	return moved
}

// isBalanced reports whether neither the most nor the least loaded server needs a move.
func (p *balancePass) isBalanced(from, to int32) bool {
	r := p.round
	gives := r.over[from] && r.ratio(from) > 1+r.tuning.StopThreshold
	takes := r.under[to] && r.ratio(to) < 1-r.tuning.StopThreshold
	return !gives && !takes
}

// pick returns the position of the unit of from whose move to to helps most: the heaviest that leaves from with its
// share, or else the lightest. It returns false if no move makes the pair more even.
func (p *balancePass) pick(from, to int32) (int, bool) {
	r := p.round
	share := r.share * r.capacity[from]
	excess := r.load[from] - share*(1-r.tuning.StopThreshold)
	if r.isRamping(to) {
		// The heaviest units look heavy partly by chance. A server that got only such units would soon have too little.
		excess = min(excess, r.meanPartition)
	}
	units := p.owned.of(r, from)
	first := sort.Search(len(units), func(i int) bool { return r.units[units[i]].load <= excess })
	for i := first; i < len(units); i++ {
		if p.helps(units[i], from, to) {
			return i, true
		}
	}
	if first == 0 {
		return 0, false
	}
	return first - 1, p.helps(units[first-1], from, to)
}

// helps reports whether moving a unit lowers the greater of both loads.
func (p *balancePass) helps(i, from, to int32) bool {
	r := p.round
	after := (r.load[to] + r.units[i].load) / (r.capacity[to] * r.share)
	return r.units[i].load > 0 && after < r.ratio(from)-minGain
}

// dismiss takes a server out of the pass after it found no move. A receiver that is smaller than the donor goes
// first, because a greater one may be able to take the unit.
func (p *balancePass) dismiss(from, to int32) {
	if p.round.capacity[to] < p.round.capacity[from] {
		p.receivers.remove(to)
		return
	}
	p.donors.remove(from)
}

func (p *balancePass) move(i, from, to int32) {
	p.round.moveUnit(i, to)
	p.update(from)
	p.update(to)
}

func (p *balancePass) update(server int32) {
	ratio := p.round.ratio(server)
	if p.donors.position[server] >= 0 {
		p.donors.set(server, -ratio)
	}
	if p.receivers.position[server] >= 0 {
		p.receivers.set(server, ratio)
	}
}
