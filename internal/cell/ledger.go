package cell

import (
	"maps"
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// ledger is the holder's working table. Changes collect until seal makes them one version; a version is
// published only once it is committed (H6, H7).
type ledger struct {
	table *table
	// log holds the versions after base, for the successor and members that are behind.
	log  []*wire.TableDelta
	base uint64

	servers  map[string]bool
	units    map[unit]bool
	services map[string]bool
}

func newLedger(t *table) *ledger {
	l := &ledger{table: t.clone(), base: t.version}
	l.clearChanges()
	return l
}

func (l *ledger) clearChanges() {
	l.servers = make(map[string]bool)
	l.units = make(map[unit]bool)
	l.services = make(map[string]bool)
}

func (l *ledger) putServer(e serverEntry) {
	l.table.servers[e.name] = &e
	l.servers[e.name] = true
}

func (l *ledger) removeServer(name string) {
	delete(l.table.servers, name)
	l.servers[name] = true
}

func (l *ledger) putOwner(u unit, owner Owner) {
	l.table.setOwner(u, owner)
	l.units[u] = true
}

func (l *ledger) removeKey(u unit) {
	l.table.removeKey(u)
	l.units[u] = true
}

func (l *ledger) putService(name string, partitions int) {
	l.table.ensureService(name, partitions)
	l.services[name] = true
}

func (l *ledger) removeService(name string) {
	delete(l.table.services, name)
	l.services[name] = true
}

func (l *ledger) setRevision(revision uint64) {
	if revision > l.table.revision {
		l.table.revision = revision
		l.services[""] = true
	}
}

// changed reports whether there are changes without a version.
func (l *ledger) changed() bool { return len(l.servers)+len(l.units)+len(l.services) > 0 }

// seal turns the collected changes into one version and reports whether there were any.
func (l *ledger) seal() bool {
	if !l.changed() {
		return false
	}
	t := l.table
	d := &wire.TableDelta{Generation: t.generation, From: t.version, To: t.version + 1, Revision: t.revision}
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		if e, ok := t.servers[name]; ok {
			d.Servers = append(d.Servers, serverToWire(e))
		} else {
			d.Servers = append(d.Servers, &wire.ServerEntry{Name: name, Removed: true})
		}
	}
	d.Services = l.changedServices()
	t.version++
	l.log = append(l.log, d)
	if len(l.log) > maxLogBatches {
		l.base = l.log[0].To
		l.log = slices.Delete(l.log, 0, 1)
	}
	l.clearChanges()
	return true
}

func (l *ledger) changedServices() []*wire.ServiceDelta {
	byService := make(map[string][]unit)
	for u := range l.units {
		byService[u.service] = append(byService[u.service], u)
	}
	for name := range l.services {
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
	slices.SortFunc(units, compareUnits)
	c := newColumns(name, len(s.owners))
	for _, u := range units {
		if u.key == "" {
			if int(u.partition) < len(s.owners) {
				c.addPartition(u.partition, s.owners[u.partition])
			}
			continue
		}
		owner, ok := s.hot[u.key]
		c.addKey(u.key, owner, !ok)
	}
	return c.delta
}

func compareUnits(a, b unit) int {
	if a.key != b.key {
		if a.key < b.key {
			return -1
		}
		return 1
	}
	return int(a.partition) - int(keyspace.Partition(b.partition))
}

// since returns the changes after version up to and including version limit, or the whole of committed if the
// log does not reach back. committed must be at version limit.
func (l *ledger) since(generation, version, limit uint64, committed *table) *wire.TableDelta {
	if generation != l.table.generation || version < l.base {
		return committed.whole()
	}
	if version >= limit {
		return nil
	}
	first := slices.IndexFunc(l.log, func(d *wire.TableDelta) bool { return d.From >= version })
	last := first
	for last < len(l.log) && l.log[last].To <= limit {
		last++
	}
	if first < 0 || first == last {
		return nil
	}
	return mergeDeltas(l.log[first:last], version)
}
