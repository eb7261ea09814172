package cell

import (
	"maps"
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// tableLog is the working table of the holder and the log of its latest versions. Changes collect until seal makes them
// one version. A version is published once it is committed (H6, H7).
type tableLog struct {
	table *table
	// deltas holds the versions after baseVersion, for the successor and members whose table is out of date.
	deltas      []*wire.TableDelta
	baseVersion uint64

	changedServers map[string]bool
	changedUnits   map[unit]bool
	// changedServices also has the key "" if the revision changed.
	changedServices map[string]bool
}

func newTableLog(t *table) *tableLog {
	l := &tableLog{table: t.clone(), baseVersion: t.version}
	l.clearChanges()
	return l
}

func (l *tableLog) clearChanges() {
	l.changedServers = make(map[string]bool)
	l.changedUnits = make(map[unit]bool)
	l.changedServices = make(map[string]bool)
}

func (l *tableLog) putServer(e serverEntry) {
	l.table.servers[e.name] = &e
	l.changedServers[e.name] = true
}

func (l *tableLog) removeServer(name string) {
	delete(l.table.servers, name)
	l.changedServers[name] = true
}

func (l *tableLog) putOwner(u unit, owner Owner) {
	l.table.setOwner(u, owner)
	l.changedUnits[u] = true
}

func (l *tableLog) removeKey(u unit) {
	l.table.removeKey(u)
	l.changedUnits[u] = true
}

func (l *tableLog) putService(name string, partitions int) {
	l.table.ensureService(name, partitions)
	l.changedServices[name] = true
}

func (l *tableLog) removeService(name string) {
	delete(l.table.services, name)
	l.changedServices[name] = true
}

func (l *tableLog) setRevision(revision uint64) {
	if revision > l.table.revision {
		l.table.revision = revision
		l.changedServices[""] = true
	}
}

// hasUnsealedChanges reports whether there are changes that are not in a version yet.
func (l *tableLog) hasUnsealedChanges() bool {
	return len(l.changedServers)+len(l.changedUnits)+len(l.changedServices) > 0
}

// seal turns the collected changes into one version and reports whether there were any.
func (l *tableLog) seal() bool {
	if !l.hasUnsealedChanges() {
		return false
	}
	t := l.table
	d := &wire.TableDelta{Generation: t.generation, From: t.version, To: t.version + 1, Revision: t.revision}
	for _, name := range slices.Sorted(maps.Keys(l.changedServers)) {
		if e, ok := t.servers[name]; ok {
			d.Servers = append(d.Servers, serverToWire(e))
		} else {
			d.Servers = append(d.Servers, &wire.ServerEntry{Name: name, Removed: true})
		}
	}
	d.Services = l.changedServiceDeltas()
	t.version++
	l.deltas = append(l.deltas, d)
	if len(l.deltas) > maxLogDeltas {
		l.baseVersion = l.deltas[0].To
		l.deltas = slices.Delete(l.deltas, 0, 1)
	}
	l.clearChanges()
	return true
}

func (l *tableLog) changedServiceDeltas() []*wire.ServiceDelta {
	byService := make(map[string][]unit)
	for u := range l.changedUnits {
		byService[u.service] = append(byService[u.service], u)
	}
	for name := range l.changedServices {
		if _, ok := byService[name]; !ok && name != "" {
			byService[name] = nil
		}
	}
	var deltas []*wire.ServiceDelta
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		s, ok := l.table.services[name]
		if !ok {
			deltas = append(deltas, &wire.ServiceDelta{Name: name, Removed: true})
			continue
		}
		deltas = append(deltas, serviceDelta(name, s, byService[name]))
	}
	return deltas
}

func serviceDelta(name string, s *serviceTable, units []unit) *wire.ServiceDelta {
	slices.SortFunc(units, compareUnitsOfService)
	builder := newServiceDeltaBuilder(name, len(s.owners))
	for _, u := range units {
		if u.key == "" {
			if int(u.partition) < len(s.owners) {
				builder.addPartition(u.partition, s.owners[u.partition])
			}
			continue
		}
		owner, ok := s.hotKeys[u.key]
		builder.addKey(u.key, owner, !ok)
	}
	return builder.delta
}

func compareUnitsOfService(a, b unit) int {
	if a.key != b.key {
		if a.key < b.key {
			return -1
		}
		return 1
	}
	return int(a.partition) - int(keyspace.Partition(b.partition))
}

// deltaSince returns the changes after version up to and including version limit. If the log does not reach back to
// version, it returns the whole of committed, which must be the table at version limit.
func (l *tableLog) deltaSince(generation, version, limit uint64, committed *table) *wire.TableDelta {
	if generation != l.table.generation || version < l.baseVersion {
		return committed.wholeDelta()
	}
	if version >= limit {
		return nil
	}
	first := slices.IndexFunc(l.deltas, func(d *wire.TableDelta) bool { return d.From >= version })
	last := first
	for last < len(l.deltas) && l.deltas[last].To <= limit {
		last++
	}
	if first < 0 || first == last {
		return nil
	}
	return concatDeltas(l.deltas[first:last], version)
}
