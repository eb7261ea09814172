package cell

import (
	"maps"
	"slices"
)

// updateSnapshot builds a new snapshot if anything in it changed.
func (n *Node) updateSnapshot() {
	if !n.snapshotOutdated {
		return
	}
	n.snapshotOutdated = false
	n.out.Changed = true
	s := &Snapshot{
		Generation: n.pair.Generation, Term: n.pair.Term,
		Holder: n.pair.Holder.Host, IsHolder: n.holder != nil,
		Successor: n.pair.Successor.Host, Arbiter: n.pair.Arbiter.Host,
		Role: n.Role(), Version: n.table.version, Acknowledged: n.acknowledged,
		HomeLeaseEnd: n.local.leaseEnd,
		Servers:      make(map[string]ServerView, len(n.table.servers)),
		Services:     make(map[string]*ServiceView, len(n.table.services)),
	}
	for name, e := range n.table.servers {
		s.Servers[name] = ServerView{
			Name: name, Service: e.service, Home: e.home.Host, Local: e.home == n.self,
			Token: e.token, Releasing: e.releasing, State: e.state,
		}
	}
	for name, t := range n.table.services {
		t.shared = true
		s.Services[name] = &ServiceView{Owners: t.owners, HotKeys: t.hotKeys}
	}
	n.markRevoked(s)
	n.snapshot = s
}

// markRevoked marks as releasing the units that the local home must not use because it reported their server down.
func (n *Node) markRevoked(s *Snapshot) {
	copied := make(map[string]bool)
	for name, h := range n.local.health {
		e, ok := n.table.servers[name]
		if !ok || h.revoked.IsZero() || s.Services[e.service] == nil {
			continue
		}
		if !copied[e.service] {
			copied[e.service] = true
			v := s.Services[e.service]
			s.Services[e.service] = &ServiceView{Owners: slices.Clone(v.Owners), HotKeys: maps.Clone(v.HotKeys)}
		}
		v := s.Services[e.service]
		n.table.forEachUnitOf(name, func(u unit, owner Owner) {
			if h.revoked.Less(owner.Token) {
				return
			}
			owner.Releasing = true
			if u.key == "" {
				v.Owners[u.partition] = owner
			} else {
				v.HotKeys[u.key] = owner
			}
		})
	}
}
