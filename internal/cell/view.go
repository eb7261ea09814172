package cell

import (
	"maps"
	"slices"
)

// updateSnapshot builds the view of the local traffic if anything in it changed.
func (n *Node) updateSnapshot() {
	if !n.changed {
		return
	}
	n.changed = false
	n.out.Changed = true
	s := &Snapshot{
		Generation: n.pair.Generation, Term: n.pair.Term,
		Holder: n.pair.Holder.Host, Self: n.holder != nil,
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
		s.Services[name] = &ServiceView{Owners: t.owners, HotKeys: t.hot}
	}
	n.overlayLatches(s)
	n.snapshot = s
}

// overlayLatches marks what the local home must not use because it reported the server down.
func (n *Node) overlayLatches(s *Snapshot) {
	copied := make(map[string]bool)
	for name, h := range n.local.health {
		e, ok := n.table.servers[name]
		if !ok || h.latch.IsZero() || s.Services[e.service] == nil {
			continue
		}
		if !copied[e.service] {
			copied[e.service] = true
			v := s.Services[e.service]
			s.Services[e.service] = &ServiceView{Owners: slices.Clone(v.Owners), HotKeys: maps.Clone(v.HotKeys)}
		}
		v := s.Services[e.service]
		n.table.unitsOf(name, func(u unit, owner Owner) {
			if h.latch.Less(owner.Token) {
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
