package cell

import (
	"cmp"
	"slices"
	"time"
)

// homeCandidate is a member that may be home of backend servers, with the number of servers that it has.
type homeCandidate struct {
	member    Member
	servers   int
	byService map[string]int
}

// homeCandidates returns the members that may be homes, without counts. It excludes members that are leaving or near a
// planned stop.
func (n *Node) homeCandidates(now time.Duration) []*homeCandidate {
	h := n.holder
	var candidates []*homeCandidate
	for _, member := range h.sortedMembers() {
		record := h.members[member]
		if member == n.self && n.leaving || record.leaving {
			continue
		}
		if member != n.self && !record.live(now) || !n.isConfigured(member.Host) || n.stopping(member.Host, now) {
			continue
		}
		candidates = append(candidates, &homeCandidate{member: member, byService: make(map[string]int)})
	}
	return candidates
}

// assignHomes gives each server a home, moves servers off members that are not candidates, and balances the number of
// servers per member, one move at a time.
func (n *Node) assignHomes(now time.Duration) {
	h := n.holder
	candidates := n.homeCandidates(now)
	if len(candidates) == 0 {
		return
	}
	moveInProgress := false
	var withoutHome []string
	for _, name := range h.tableLog.table.serverNames() {
		e := h.tableLog.table.servers[name]
		moveInProgress = moveInProgress || e.releasing
		if e.home.IsZero() {
			if n.isServerConfigured(name) {
				withoutHome = append(withoutHome, name)
			}
			continue
		}
		i := slices.IndexFunc(candidates, func(c *homeCandidate) bool { return c.member == e.home })
		if i >= 0 {
			candidates[i].servers++
			candidates[i].byService[e.service]++
			continue
		}
		if record, ok := h.members[e.home]; ok && record.live(now) {
			n.releaseServer(name)
			moveInProgress = true
		}
	}
	for _, name := range withoutHome {
		e := h.tableLog.table.servers[name]
		target := leastLoadedCandidate(candidates, e.service)
		target.servers++
		target.byService[e.service]++
		n.grantServer(now, name, target.member)
	}
	if !moveInProgress && len(withoutHome) == 0 {
		n.balanceHomes(candidates)
	}
}

func leastLoadedCandidate(candidates []*homeCandidate, service string) *homeCandidate {
	return slices.MinFunc(candidates, func(a, b *homeCandidate) int {
		return cmp.Or(cmp.Compare(a.servers, b.servers), cmp.Compare(a.byService[service], b.byService[service]))
	})
}

// balanceHomes releases one server of the member with the most servers if another member has at least two fewer.
func (n *Node) balanceHomes(candidates []*homeCandidate) {
	compare := func(a, b *homeCandidate) int { return cmp.Compare(a.servers, b.servers) }
	most, least := slices.MaxFunc(candidates, compare), slices.MinFunc(candidates, compare)
	if most.servers-least.servers < 2 {
		return
	}
	for _, name := range n.holder.tableLog.table.serverNames() {
		if n.holder.tableLog.table.servers[name].home == most.member {
			n.releaseServer(name)
			return
		}
	}
}
