package cell

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// wireStates lists the states of a backend server; the index of each is its number on the wire.
var wireStates = []ServerState{ServerUp, ServerDraining, ServerDown}

// wholeDelta returns a delta that replaces the whole table.
func (t *table) wholeDelta() *wire.TableDelta {
	d := &wire.TableDelta{Generation: t.generation, To: t.version, Revision: t.revision, Whole: true}
	for _, name := range t.serverNames() {
		d.Servers = append(d.Servers, serverToWire(t.servers[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		builder := newServiceDeltaBuilder(name, len(s.owners))
		for _, owner := range s.owners {
			builder.addOwner(owner)
		}
		for _, key := range slices.Sorted(maps.Keys(s.hotKeys)) {
			builder.addKey(key, s.hotKeys[key], false)
		}
		d.Services = append(d.Services, builder.delta)
	}
	return d
}

func serverToWire(e *serverEntry) *wire.ServerEntry {
	return &wire.ServerEntry{
		Name: e.name, Service: e.service, Home: e.home.toWire(), Token: tokenToWire(e.token),
		Releasing: e.releasing, State: uint32(slices.Index(wireStates, e.state)),
	}
}

// serviceDeltaBuilder builds a ServiceDelta, which has a column for each field of the owners. It adds one owner at a
// time.
type serviceDeltaBuilder struct {
	delta       *wire.ServiceDelta
	serverIndex map[string]uint32
}

func newServiceDeltaBuilder(service string, partitions int) *serviceDeltaBuilder {
	return &serviceDeltaBuilder{
		delta:       &wire.ServiceDelta{Name: service, Partitions: uint32(partitions)},
		serverIndex: make(map[string]uint32),
	}
}

func (b *serviceDeltaBuilder) addOwner(owner Owner) {
	index := uint32(0)
	if owner.Server != "" {
		known, ok := b.serverIndex[owner.Server]
		if !ok {
			b.delta.ServerNames = append(b.delta.ServerNames, owner.Server)
			known = uint32(len(b.delta.ServerNames))
			b.serverIndex[owner.Server] = known
		}
		index = known
	}
	if owner.Releasing {
		b.delta.Releasing = append(b.delta.Releasing, uint32(len(b.delta.Server)))
	}
	b.delta.Server = append(b.delta.Server, index)
	b.delta.Generation = append(b.delta.Generation, owner.Token.Generation)
	b.delta.Term = append(b.delta.Term, owner.Token.Term)
	b.delta.Seq = append(b.delta.Seq, owner.Token.Seq)
}

func (b *serviceDeltaBuilder) addPartition(p keyspace.Partition, owner Owner) {
	b.delta.Partition = append(b.delta.Partition, uint32(p))
	b.addOwner(owner)
}

func (b *serviceDeltaBuilder) addKey(key string, owner Owner, removed bool) {
	b.delta.Keys = append(b.delta.Keys, &wire.KeyEntry{
		Key: key, Server: owner.Server, Token: tokenToWire(owner.Token), Releasing: owner.Releasing, Removed: removed,
	})
}

// apply applies d to the table and reports whether the table changed. It ignores a delta that the table already
// includes.
func (t *table) apply(d *wire.TableDelta) (bool, error) {
	if d == nil {
		return false, nil
	}
	if err := validateDelta(d); err != nil {
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

func validateDelta(d *wire.TableDelta) error {
	for _, s := range d.Services {
		entries := len(s.Server)
		if len(s.Generation) != entries || len(s.Term) != entries || len(s.Seq) != entries {
			return errors.Wrapf(ErrMalformedDelta, "service %q", s.Name)
		}
		if len(s.Partition) != entries && (len(s.Partition) != 0 || entries != int(s.Partitions)) {
			return errors.Wrapf(ErrMalformedDelta, "service %q", s.Name)
		}
		for i := range entries {
			if s.Server[i] > uint32(len(s.ServerNames)) || len(s.Partition) > 0 && s.Partition[i] >= s.Partitions {
				return errors.Wrapf(ErrMalformedDelta, "service %q, entry %d", s.Name, i)
			}
		}
		for _, i := range s.Releasing {
			if int(i) >= entries {
				return errors.Wrapf(ErrMalformedDelta, "service %q, releasing entry %d", s.Name, i)
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
		name: e.Name, service: e.Service, home: memberFromWire(e.Home), token: tokenFromWire(e.Token),
		releasing: e.Releasing, state: wireStates[e.State],
	}
}

func (t *table) applyService(d *wire.ServiceDelta) {
	if d.Removed {
		delete(t.services, d.Name)
		return
	}
	s := t.ensureService(d.Name, int(d.Partitions))
	s.copyIfShared()
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
		t.setOwner(u, Owner{Server: k.Server, Token: tokenFromWire(k.Token), Releasing: k.Releasing})
	}
}

// concatDeltas joins consecutive deltas into one that starts at version from.
func concatDeltas(deltas []*wire.TableDelta, from uint64) *wire.TableDelta {
	last := deltas[len(deltas)-1]
	merged := &wire.TableDelta{Generation: last.Generation, From: from, To: last.To, Revision: last.Revision}
	for _, d := range deltas {
		merged.Servers = append(merged.Servers, d.Servers...)
		merged.Services = append(merged.Services, d.Services...)
	}
	return merged
}
