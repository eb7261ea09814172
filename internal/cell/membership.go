package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// memberRecord is what the holder knows of one process of the cell.
type memberRecord struct {
	// leaseEnd is the end of the last home lease that the process may have, on the holder's clock (H1).
	leaseEnd time.Duration
	heardAt  time.Duration
	leaving  bool
	promised uint64
	// generation and version name the table that the process had at its last heartbeat.
	generation, version uint64
	// answered is true once the process sent a heartbeat to this holder.
	answered bool
}

// live reports whether the process sent a heartbeat recently.
func (r *memberRecord) live(now time.Duration) bool {
	return r.answered && now-r.heardAt <= SuspectAfter
}

// onHeartbeat renews the home lease of a member and takes its reports (H1).
func (n *Node) onHeartbeat(now time.Duration, from Member, epoch Epoch, hb *wire.Heartbeat) {
	h := n.holder
	if h == nil || n.pair.Epoch.Less(epoch) {
		n.notice(now, from)
		return
	}
	if !n.Acting(now) {
		return
	}
	record, known := h.members[from]
	if !known {
		if !n.isConfigured(from.Host) {
			return
		}
		record = &memberRecord{leaseEnd: now}
		h.members[from] = record
	}
	n.takeHeartbeat(now, from, record, hb)
	reply := &wire.HeartbeatReply{Seq: hb.Seq}
	if now >= h.noLeaseUntil && !n.displaced(from) {
		reply.Lease = true
		record.leaseEnd = now + withDrift(HomeLease)
	}
	h.ledger.seal()
	reply.Table = h.ledger.since(hb.TableGeneration, hb.TableVersion, n.table.version, n.table)
	if n.acknowledged < n.table.version {
		reply.Acknowledged = n.acknowledged + 1
	}
	if epoch != n.pair.Epoch || hb.PairSeq != n.pair.Seq {
		reply.Pair = n.pair.toWire()
	}
	n.send(from, &wire.Control{Body: &wire.Control_HeartbeatReply{HeartbeatReply: reply}})
}

// displaced reports whether the published table still names the process as home of a server that the ledger took
// from it when its lease was over. A lease would then revive what has moved; it must wait until the successor has the
// change (H3).
func (n *Node) displaced(member Member) bool {
	if n.faults.leaseDisplaced {
		return false
	}
	for name, published := range n.table.servers {
		if published.home != member || published.releasing {
			continue
		}
		if e, ok := n.holder.ledger.table.servers[name]; !ok || e.home != member || e.token != published.token {
			return true
		}
	}
	return false
}

// selfHeartbeat lets the holder take the reports of its own home and renews its home lease, which never outlives
// the authority (H1).
func (n *Node) selfHeartbeat(now time.Duration) {
	h := n.holder
	if !n.Acting(now) {
		return
	}
	record, ok := h.members[n.self]
	if !ok {
		record = &memberRecord{leaseEnd: now}
		h.members[n.self] = record
	}
	n.takeHeartbeat(now, n.self, record, n.buildHeartbeat(now))
	if now < h.noLeaseUntil {
		return
	}
	end := min(h.authorityEnd, now+HomeLease)
	if n.faults.selfLeaseUnbounded {
		end = now + HomeLease
	}
	record.leaseEnd = max(record.leaseEnd, end)
	if end > n.local.leaseEnd {
		n.local.leaseEnd = end
		n.changed = true
	}
}

func (n *Node) takeHeartbeat(now time.Duration, from Member, record *memberRecord, hb *wire.Heartbeat) {
	if !record.answered || record.leaving != hb.Leaving {
		n.holder.planDue = true
	}
	record.answered, record.heardAt = true, now
	record.leaving, record.promised = hb.Leaving, hb.Promised
	record.generation, record.version = hb.TableGeneration, hb.TableVersion
	n.clearDraining(from)
	for _, s := range hb.Servers {
		n.takeServerStatus(now, from, s)
	}
	for _, r := range hb.Released {
		n.takeRelease(from, unit{service: r.Service, partition: keyspace.Partition(r.Partition), key: r.Key}, tokenFrom(r.Token))
	}
	for _, r := range hb.ReleasedServers {
		n.takeServerRelease(from, r.Server, tokenFrom(r.Token))
	}
	n.takeLoad(now, hb)
}

// clearDraining takes note that the servers of a home do not drain, unless its heartbeat says so.
func (n *Node) clearDraining(home Member) {
	for name, e := range n.holder.ledger.table.servers {
		if e.home == home && e.state == ServerDraining {
			n.holder.draining[name] = false
		}
	}
}

// takeLoad records the load that the assignment policy uses.
func (n *Node) takeLoad(now time.Duration, hb *wire.Heartbeat) {
	h := n.holder
	for _, rows := range hb.Load {
		s, ok := h.ledger.table.services[rows.Service]
		if !ok || len(rows.Partition) != len(rows.MilliSlots) {
			continue
		}
		if len(h.load[rows.Service]) != len(s.owners) {
			h.load[rows.Service] = make([]float64, len(s.owners))
		}
		for i, p := range rows.Partition {
			if int(p) < len(s.owners) {
				h.load[rows.Service][p] = float64(rows.MilliSlots[i]) / milli
			}
		}
	}
	for _, row := range hb.HotKeys {
		if u := (unit{service: row.Service, key: row.Key}); len(h.keyLoad) < maxOverrides {
			h.keyLoad[u] = keyLoadRow{load: float64(row.Load), at: now}
		}
	}
	for _, row := range hb.ServerLoad {
		h.serverLoad[row.Server] = float64(row.Load)
	}
	if len(hb.Load)+len(hb.HotKeys)+len(hb.ServerLoad) > 0 && now-h.plannedAt >= loadInterval {
		h.planDue = true
	}
}

// excess is the time that requests of a service may run beyond the leases.
func (n *Node) excess(service string) time.Duration {
	s, ok := n.config.Service(service)
	if !ok {
		return n.maxExcess()
	}
	return max(0, time.Duration(s.MaxRequestMillis)*time.Millisecond-IncludedRunTime)
}

func (n *Node) maxExcess() time.Duration {
	longest := time.Duration(0)
	for i := range n.config.Services {
		longest = max(longest, time.Duration(n.config.Services[i].MaxRequestMillis)*time.Millisecond)
	}
	return max(0, longest-IncludedRunTime)
}

// expireMembers frees the servers of homes whose lease is over (H3), and forgets processes without servers.
func (n *Node) expireMembers(now time.Duration) {
	h := n.holder
	homes := make(map[Member]bool)
	for _, name := range h.ledger.table.serverNames() {
		e := h.ledger.table.servers[name]
		if e.home.IsZero() {
			continue
		}
		record, ok := h.members[e.home]
		if ok && (now <= n.serverLapse(record, e) || e.home == n.self) {
			homes[e.home] = true
			continue
		}
		n.lapseServer(name)
	}
	for member, record := range h.members {
		if !homes[member] && now-record.heardAt > SuspectAfter && now > record.leaseEnd {
			delete(h.members, member)
		}
	}
}

// serverLapse is the time at which nothing that the home caused on the server can be in force.
func (n *Node) serverLapse(record *memberRecord, e *serverEntry) time.Duration {
	if n.faults.noHomeWait {
		return record.heardAt + SuspectAfter
	}
	return record.leaseEnd + MaxClockSkew + n.excess(e.service)
}

// candidates returns the live processes of the cell other than this one, in the order of preference for a part in
// the pair: on other racks first.
func (n *Node) candidates(now time.Duration, avoid ...string) []Member {
	racks := map[string]bool{n.rack(n.self.Host): true}
	for _, host := range avoid {
		racks[n.rack(host)] = true
	}
	var list []Member
	for member, record := range n.holder.members {
		if member == n.self || !record.live(now) || record.leaving || !n.isConfigured(member.Host) || slices.Contains(avoid, member.Host) {
			continue
		}
		if n.stopping(member.Host, now) {
			continue
		}
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int {
		if x, y := racks[n.rack(a.Host)], racks[n.rack(b.Host)]; x != y {
			if y {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// stopping reports whether a planned stop of the host or server is near or under way.
func (n *Node) stopping(target string, now time.Duration) bool {
	wall := n.wallStart.Add(now)
	return slices.ContainsFunc(n.config.Stops, func(s config.Stop) bool {
		end := s.At.Add(time.Duration(s.ForSeconds) * time.Second)
		return s.Target == target && wall.After(s.At.Add(-stopLead)) && wall.Before(end)
	})
}

// sortedMembers returns the processes that the holder knows, in a fixed order.
func (h *holderState) sortedMembers() []Member {
	return slices.SortedFunc(maps.Keys(h.members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
