package cell

import (
	"maps"
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// serverEntry is one backend server in the table.
type serverEntry struct {
	name    string
	service string
	// home is the process that sends requests to the server; zero if there is none.
	home Member
	// token orders the homes of the server.
	token fence.Token
	// releasing is true while the home must stop using the server and report the release.
	releasing bool
	state     ServerState
}

// serviceTable holds the owners of the partitions and overrides of one service.
type serviceTable struct {
	owners  []Owner
	hotKeys map[string]Owner
	// shared is true while a snapshot refers to owners and hotKeys; a change then copies them first.
	shared bool
}

// copyIfShared makes the service safe to change while snapshots refer to it.
func (s *serviceTable) copyIfShared() {
	if !s.shared {
		return
	}
	s.owners = slices.Clone(s.owners)
	s.hotKeys = maps.Clone(s.hotKeys)
	s.shared = false
}

// unit identifies what is owned as a whole: a partition, or a hot key if key is set.
type unit struct {
	service   string
	partition keyspace.Partition
	key       string
}

// table is the ownership table of a cell.
type table struct {
	// generation is the generation of the cell; versions of different generations are not comparable.
	generation uint64
	// version increases with each change within the generation.
	version uint64
	// revision is the greatest configuration revision that the table reflects.
	revision uint64
	servers  map[string]*serverEntry
	services map[string]*serviceTable
}

func newTable() *table {
	return &table{servers: make(map[string]*serverEntry), services: make(map[string]*serviceTable)}
}

func (t *table) clone() *table {
	c := *t
	c.servers = make(map[string]*serverEntry, len(t.servers))
	for name, entry := range t.servers {
		e := *entry
		c.servers[name] = &e
	}
	c.services = make(map[string]*serviceTable, len(t.services))
	for name, s := range t.services {
		c.services[name] = &serviceTable{owners: slices.Clone(s.owners), hotKeys: maps.Clone(s.hotKeys)}
	}
	return &c
}

// newer reports whether the table is later than the given generation and version.
func (t *table) newer(generation, version uint64) bool {
	return t.generation > generation || t.generation == generation && t.version > version
}

// owner returns the owner of u, or false if u does not exist.
func (t *table) owner(u unit) (Owner, bool) {
	s, ok := t.services[u.service]
	if !ok {
		return Owner{}, false
	}
	if u.key != "" {
		owner, ok := s.hotKeys[u.key]
		return owner, ok
	}
	if int(u.partition) >= len(s.owners) {
		return Owner{}, false
	}
	return s.owners[u.partition], true
}

// setOwner records the owner of u. The service must exist.
func (t *table) setOwner(u unit, owner Owner) {
	s := t.services[u.service]
	s.copyIfShared()
	if u.key == "" {
		s.owners[u.partition] = owner
		return
	}
	if s.hotKeys == nil {
		s.hotKeys = make(map[string]Owner)
	}
	s.hotKeys[u.key] = owner
}

// removeKey removes an override.
func (t *table) removeKey(u unit) {
	s := t.services[u.service]
	s.copyIfShared()
	delete(s.hotKeys, u.key)
}

// ensureService returns the service. It creates the service, or replaces it if the number of partitions differs.
func (t *table) ensureService(name string, partitions int) *serviceTable {
	s, ok := t.services[name]
	if !ok || len(s.owners) != partitions {
		s = &serviceTable{owners: make([]Owner, partitions)}
		t.services[name] = s
	}
	return s
}

// forEachUnitOf calls f for each unit that server owns.
func (t *table) forEachUnitOf(server string, f func(unit, Owner)) {
	entry, ok := t.servers[server]
	if !ok {
		return
	}
	s, ok := t.services[entry.service]
	if !ok {
		return
	}
	for p := range s.owners {
		if s.owners[p].Server == server {
			f(unit{service: entry.service, partition: keyspace.Partition(p)}, s.owners[p])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.hotKeys)) {
		if s.hotKeys[key].Server == server {
			f(unit{service: entry.service, key: key}, s.hotKeys[key])
		}
	}
}

// serverNames returns the names of all servers in sorted order.
func (t *table) serverNames() []string { return slices.Sorted(maps.Keys(t.servers)) }
