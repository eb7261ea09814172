package cell

import (
	"cmp"
	"slices"
	"time"
)

// homeLoad counts the servers of one member.
type homeLoad struct {
	member    Member
	servers   int
	byService map[string]int
}

// homeTargets returns the members that may be homes, with their present servers. A leaving holder remains a target
// only if there is no other.
func (n *Node) homeTargets(now time.Duration) []*homeLoad {
	h := n.holder
	var targets []*homeLoad
	for _, member := range h.sortedMembers() {
		record := h.members[member]
		if member == n.self && n.leaving || record.leaving {
			continue
		}
		if member != n.self && !record.live(now) || !n.isConfigured(member.Host) || n.stopping(member.Host, now) {
			continue
		}
		targets = append(targets, &homeLoad{member: member, byService: make(map[string]int)})
	}
	return targets
}

// planHomes gives each server a home, moves servers away from leaving members, and evens out the number of
// servers, one move at a time.
func (n *Node) planHomes(now time.Duration) {
	h := n.holder
	targets := n.homeTargets(now)
	if len(targets) == 0 {
		return
	}
	busy := false
	var homeless []string
	for _, name := range h.ledger.table.serverNames() {
		e := h.ledger.table.servers[name]
		busy = busy || e.releasing
		if e.home.IsZero() {
			if n.serverConfigured(name) {
				homeless = append(homeless, name)
			}
			continue
		}
		i := slices.IndexFunc(targets, func(l *homeLoad) bool { return l.member == e.home })
		if i >= 0 {
			targets[i].servers++
			targets[i].byService[e.service]++
			continue
		}
		if record, ok := h.members[e.home]; ok && record.live(now) {
			n.releaseServer(name)
			busy = true
		}
	}
	for _, name := range homeless {
		e := h.ledger.table.servers[name]
		target := leastLoaded(targets, e.service)
		target.servers++
		target.byService[e.service]++
		n.grantServer(now, name, target.member)
	}
	if !busy && len(homeless) == 0 {
		n.evenOutHomes(targets)
	}
}

func leastLoaded(targets []*homeLoad, service string) *homeLoad {
	return slices.MinFunc(targets, func(a, b *homeLoad) int {
		return cmp.Or(cmp.Compare(a.servers, b.servers), cmp.Compare(a.byService[service], b.byService[service]))
	})
}

// evenOutHomes releases one server of the member with the most, if another has at least two fewer.
func (n *Node) evenOutHomes(targets []*homeLoad) {
	compare := func(a, b *homeLoad) int { return cmp.Compare(a.servers, b.servers) }
	most, least := slices.MaxFunc(targets, compare), slices.MinFunc(targets, compare)
	if most.servers-least.servers < 2 {
		return
	}
	for _, name := range n.holder.ledger.table.serverNames() {
		if n.holder.ledger.table.servers[name].home == most.member {
			n.releaseServer(name)
			return
		}
	}
}
