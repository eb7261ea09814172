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
	// leaseEnd is the end of the latest home lease that the process may have, on the holder's clock (H1).
	leaseEnd   time.Duration
	lastSeenAt time.Duration
	leaving    bool
	promised   uint64
	// generation and version identify the table that the process had at its last heartbeat.
	generation, version uint64
	// heartbeatReceived is true once the process sent a heartbeat to this holder.
	heartbeatReceived bool
}

// live reports whether a heartbeat of the process was received within SuspectAfter.
func (r *memberRecord) live(now time.Duration) bool {
	return r.heartbeatReceived && now-r.lastSeenAt <= SuspectAfter
}

// onHeartbeat applies the reports of a member and renews its home lease (H1).
func (n *Node) onHeartbeat(now time.Duration, from Member, epoch Epoch, hb *wire.Heartbeat) {
	h := n.holder
	if h == nil || n.pair.Epoch.Less(epoch) {
		n.replyLocated(now, from)
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
	n.applyHeartbeat(now, from, record, hb)
	reply := &wire.HeartbeatReply{Seq: hb.Seq}
	if now >= h.noLeaseUntil && !n.hasUnpublishedReassignment(from) {
		reply.Lease = true
		record.leaseEnd = now + withDrift(HomeLease)
	}
	h.tableLog.seal()
	reply.Table = h.tableLog.deltaSince(hb.TableGeneration, hb.TableVersion, n.table.version, n.table)
	// 0 means that the whole table is acknowledged; otherwise the field is the acknowledged version plus 1.
	if n.acknowledged < n.table.version {
		reply.Acknowledged = n.acknowledged + 1
	}
	if epoch != n.pair.Epoch || hb.PairSeq != n.pair.Seq {
		reply.Pair = n.pair.toWire()
	}
	n.send(from, &wire.Control{Body: &wire.Control_HeartbeatReply{HeartbeatReply: reply}})
}

// hasUnpublishedReassignment reports whether the published table still names the process as home of a server that the
// working table took from it after its lease ended. A lease would then let it use a server that has moved, so it gets
// none until the successor has the change (H3).
func (n *Node) hasUnpublishedReassignment(member Member) bool {
	if n.faults.leaseBeforePublication {
		return false
	}
	for name, published := range n.table.servers {
		if published.home != member || published.releasing {
			continue
		}
		if e, ok := n.holder.tableLog.table.servers[name]; !ok || e.home != member || e.token != published.token {
			return true
		}
	}
	return false
}

// selfHeartbeat applies the reports of the holder's own home and renews its home lease, which never outlives the
// authority (H1).
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
	n.applyHeartbeat(now, n.self, record, n.buildHeartbeat(now))
	if now < h.noLeaseUntil {
		return
	}
	end := min(h.authorityEnd, now+HomeLease)
	if n.faults.unboundedSelfLease {
		end = now + HomeLease
	}
	record.leaseEnd = max(record.leaseEnd, end)
	if end > n.local.leaseEnd {
		n.local.leaseEnd = end
		n.snapshotOutdated = true
	}
}

// applyHeartbeat records the state and the reports of a member.
func (n *Node) applyHeartbeat(now time.Duration, from Member, record *memberRecord, hb *wire.Heartbeat) {
	if !record.heartbeatReceived || record.leaving != hb.Leaving {
		n.holder.planDue = true
	}
	record.heartbeatReceived, record.lastSeenAt = true, now
	record.leaving, record.promised = hb.Leaving, hb.Promised
	record.generation, record.version = hb.TableGeneration, hb.TableVersion
	n.resetDraining(from)
	for _, s := range hb.Servers {
		n.applyServerStatus(now, from, s)
	}
	for _, r := range hb.Released {
		n.applyRelease(from, unit{service: r.Service, partition: keyspace.Partition(r.Partition), key: r.Key}, tokenFromWire(r.Token))
	}
	for _, r := range hb.ReleasedServers {
		n.applyServerRelease(from, r.Server, tokenFromWire(r.Token))
	}
	n.applyLoad(now, hb)
}

// resetDraining marks the draining servers of a home as no longer draining. Those that still drain are in its
// heartbeat, which is applied next.
func (n *Node) resetDraining(home Member) {
	for name, e := range n.holder.tableLog.table.servers {
		if e.home == home && e.state == ServerDraining {
			n.holder.draining[name] = false
		}
	}
}

// applyLoad records the reported load for the assignment policy.
func (n *Node) applyLoad(now time.Duration, hb *wire.Heartbeat) {
	h := n.holder
	for _, serviceLoad := range hb.Load {
		s, ok := h.tableLog.table.services[serviceLoad.Service]
		if !ok || len(serviceLoad.Partition) != len(serviceLoad.MilliSlots) {
			continue
		}
		if len(h.partitionLoad[serviceLoad.Service]) != len(s.owners) {
			h.partitionLoad[serviceLoad.Service] = make([]float64, len(s.owners))
		}
		for i, p := range serviceLoad.Partition {
			if int(p) < len(s.owners) {
				h.partitionLoad[serviceLoad.Service][p] = float64(serviceLoad.MilliSlots[i]) / milliSlotsPerSlot
			}
		}
	}
	for _, report := range hb.HotKeys {
		if u := (unit{service: report.Service, key: report.Key}); len(h.keyLoad) < maxOverrides {
			h.keyLoad[u] = keyLoadReport{load: float64(report.Load), receivedAt: now}
		}
	}
	for _, report := range hb.ServerLoad {
		h.serverLoad[report.Server] = float64(report.Load)
	}
	if len(hb.Load)+len(hb.HotKeys)+len(hb.ServerLoad) > 0 && now-h.plannedAt >= loadReportInterval {
		h.planDue = true
	}
}

// excessRunTime returns how much longer than IncludedRunTime a request of the service may run. For a service that is
// not configured it returns the greatest excess of all services.
func (n *Node) excessRunTime(service string) time.Duration {
	s, ok := n.config.Service(service)
	if !ok {
		return n.maxExcessRunTime()
	}
	return max(0, time.Duration(s.MaxRequestMillis)*time.Millisecond-IncludedRunTime)
}

func (n *Node) maxExcessRunTime() time.Duration {
	longest := time.Duration(0)
	for i := range n.config.Services {
		longest = max(longest, time.Duration(n.config.Services[i].MaxRequestMillis)*time.Millisecond)
	}
	return max(0, longest-IncludedRunTime)
}

// expireMembers frees the servers of homes whose lease is over (H3), and drops the records of processes that are
// silent, are home of no server and have no lease.
func (n *Node) expireMembers(now time.Duration) {
	h := n.holder
	homes := make(map[Member]bool)
	for _, name := range h.tableLog.table.serverNames() {
		e := h.tableLog.table.servers[name]
		if e.home.IsZero() {
			continue
		}
		record, ok := h.members[e.home]
		if ok && (now <= n.serverLapseTime(record, e) || e.home == n.self) {
			homes[e.home] = true
			continue
		}
		n.lapseServer(name)
	}
	for member, record := range h.members {
		if !homes[member] && now-record.lastSeenAt > SuspectAfter && now > record.leaseEnd {
			delete(h.members, member)
		}
	}
}

// serverLapseTime returns the time after which no request or grant that the home sent to the server can be in force.
func (n *Node) serverLapseTime(record *memberRecord, e *serverEntry) time.Duration {
	if n.faults.skipHomeLeaseWait {
		return record.lastSeenAt + SuspectAfter
	}
	return record.leaseEnd + MaxClockSkew + n.excessRunTime(e.service)
}

// pairCandidates returns the live processes of the cell that may be successor or arbiter, without those on the excluded
// hosts. Processes on racks other than those of this gateway and of the excluded hosts come first.
func (n *Node) pairCandidates(now time.Duration, excluded ...string) []Member {
	racks := map[string]bool{n.rack(n.self.Host): true}
	for _, host := range excluded {
		racks[n.rack(host)] = true
	}
	var list []Member
	for member, record := range n.holder.members {
		if member == n.self || !record.live(now) || record.leaving || !n.isConfigured(member.Host) || slices.Contains(excluded, member.Host) {
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

// stopping reports whether a planned stop of the host or server is in progress or starts within plannedStopLead.
func (n *Node) stopping(target string, now time.Duration) bool {
	wall := n.wallStart.Add(now)
	return slices.ContainsFunc(n.config.Stops, func(s config.Stop) bool {
		end := s.At.Add(time.Duration(s.ForSeconds) * time.Second)
		return s.Target == target && wall.After(s.At.Add(-plannedStopLead)) && wall.Before(end)
	})
}

// sortedMembers returns the known processes in a deterministic order.
func (h *holderState) sortedMembers() []Member {
	return slices.SortedFunc(maps.Keys(h.members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
