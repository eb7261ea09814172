package cell

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

var wireStates = []ServerState{ServerUp, ServerDraining, ServerDown}

// whole returns the table as one delta.
func (t *table) whole() *wire.TableDelta {
	d := &wire.TableDelta{Generation: t.generation, To: t.version, Revision: t.revision, Whole: true}
	for _, name := range t.serverNames() {
		d.Servers = append(d.Servers, serverToWire(t.servers[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		columns := newColumns(name, len(s.owners))
		for _, owner := range s.owners {
			columns.add(owner)
		}
		for _, key := range slices.Sorted(maps.Keys(s.hot)) {
			columns.addKey(key, s.hot[key], false)
		}
		d.Services = append(d.Services, columns.delta)
	}
	return d
}

func serverToWire(e *serverEntry) *wire.ServerEntry {
	return &wire.ServerEntry{
		Name: e.name, Service: e.service, Home: e.home.toWire(), Token: tokenToWire(e.token),
		Releasing: e.releasing, State: uint32(slices.Index(wireStates, e.state)),
	}
}

// columns builds a ServiceDelta row by row.
type columns struct {
	delta *wire.ServiceDelta
	names map[string]uint32
}

func newColumns(service string, partitions int) *columns {
	return &columns{
		delta: &wire.ServiceDelta{Name: service, Partitions: uint32(partitions)},
		names: make(map[string]uint32),
	}
}

func (c *columns) add(owner Owner) {
	index := uint32(0)
	if owner.Server != "" {
		known, ok := c.names[owner.Server]
		if !ok {
			c.delta.ServerNames = append(c.delta.ServerNames, owner.Server)
			known = uint32(len(c.delta.ServerNames))
			c.names[owner.Server] = known
		}
		index = known
	}
	if owner.Releasing {
		c.delta.Releasing = append(c.delta.Releasing, uint32(len(c.delta.Server)))
	}
	c.delta.Server = append(c.delta.Server, index)
	c.delta.Generation = append(c.delta.Generation, owner.Token.Generation)
	c.delta.Term = append(c.delta.Term, owner.Token.Term)
	c.delta.Seq = append(c.delta.Seq, owner.Token.Seq)
}

func (c *columns) addPartition(p keyspace.Partition, owner Owner) {
	c.delta.Partition = append(c.delta.Partition, uint32(p))
	c.add(owner)
}

func (c *columns) addKey(key string, owner Owner, removed bool) {
	c.delta.Keys = append(c.delta.Keys, &wire.KeyEntry{
		Key: key, Server: owner.Server, Token: tokenToWire(owner.Token), Releasing: owner.Releasing, Removed: removed,
	})
}

// apply changes the table by d. It reports whether the table changed.
func (t *table) apply(d *wire.TableDelta) (bool, error) {
	if d == nil {
		return false, nil
	}
	if err := checkDelta(d); err != nil {
		return false, err
	}
	if d.Whole {
		if t.generation > d.Generation || t.generation == d.Generation && t.version >= d.To {
			return false, nil
		}
		*t = *newTable()
		t.generation = d.Generation
	} else {
		if t.generation != d.Generation || t.version < d.From {
			return false, errors.Wrapf(ErrDeltaBase, "table %d.%d, delta %d.%d", t.generation, t.version, d.Generation, d.From)
		}
		if t.version >= d.To {
			return false, nil
		}
	}
	t.version = d.To
	t.revision = max(t.revision, d.Revision)
	for _, e := range d.Servers {
		t.applyServer(e)
	}
	for _, s := range d.Services {
		t.applyService(s)
	}
	return true, nil
}

func checkDelta(d *wire.TableDelta) error {
	for _, s := range d.Services {
		rows := len(s.Server)
		if len(s.Generation) != rows || len(s.Term) != rows || len(s.Seq) != rows {
			return errors.Wrapf(ErrMalformedDelta, "service %q", s.Name)
		}
		if len(s.Partition) != rows && (len(s.Partition) != 0 || rows != int(s.Partitions)) {
			return errors.Wrapf(ErrMalformedDelta, "service %q", s.Name)
		}
		for i := range rows {
			if s.Server[i] > uint32(len(s.ServerNames)) || len(s.Partition) > 0 && s.Partition[i] >= s.Partitions {
				return errors.Wrapf(ErrMalformedDelta, "service %q, row %d", s.Name, i)
			}
		}
		for _, i := range s.Releasing {
			if int(i) >= rows {
				return errors.Wrapf(ErrMalformedDelta, "service %q, releasing row %d", s.Name, i)
			}
		}
	}
	for _, e := range d.Servers {
		if int(e.State) >= len(wireStates) {
			return errors.Wrapf(ErrMalformedDelta, "server %q", e.Name)
		}
	}
	return nil
}

func (t *table) applyServer(e *wire.ServerEntry) {
	if e.Removed {
		delete(t.servers, e.Name)
		return
	}
	t.servers[e.Name] = &serverEntry{
		name: e.Name, service: e.Service, home: memberFrom(e.Home), token: tokenFrom(e.Token),
		releasing: e.Releasing, state: wireStates[e.State],
	}
}

func (t *table) applyService(d *wire.ServiceDelta) {
	if d.Removed {
		delete(t.services, d.Name)
		return
	}
	s := t.ensureService(d.Name, int(d.Partitions))
	s.own()
	for i, index := range d.Server {
		p := i
		if len(d.Partition) > 0 {
			p = int(d.Partition[i])
		}
		owner := Owner{Token: fence.Token{Generation: d.Generation[i], Term: d.Term[i], Seq: d.Seq[i]}}
		if index > 0 {
			owner.Server = d.ServerNames[index-1]
		}
		s.owners[p] = owner
	}
	for _, i := range d.Releasing {
		p := int(i)
		if len(d.Partition) > 0 {
			p = int(d.Partition[i])
		}
		s.owners[p].Releasing = true
	}
	for _, k := range d.Keys {
		u := unit{service: d.Name, key: k.Key}
		if k.Removed {
			t.removeKey(u)
			continue
		}
		t.setOwner(u, Owner{Server: k.Server, Token: tokenFrom(k.Token), Releasing: k.Releasing})
	}
}

// mergeDeltas joins consecutive deltas into one from version from on.
func mergeDeltas(deltas []*wire.TableDelta, from uint64) *wire.TableDelta {
	last := deltas[len(deltas)-1]
	merged := &wire.TableDelta{Generation: last.Generation, From: from, To: last.To, Revision: last.Revision}
	for _, d := range deltas {
		merged.Servers = append(merged.Servers, d.Servers...)
		merged.Services = append(merged.Services, d.Services...)
	}
	return merged
}
