package relay

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// ErrUnknownIndex means that a vector refers to another index than the known one. The sender sends the index again to gateways
// that connect.
var ErrUnknownIndex = errors.New("vector of an unknown index of backend servers; waiting for the index")

// Index numbers the backend servers, by their hashes, so that vectors with a value for each need not name them. It is
// immutable.
type Index struct {
	version   uint32
	servers   []uint32
	positions map[uint32]int
}

// NewIndex returns an index of servers. A sender numbers its indices.
func NewIndex(version uint32, servers []uint32) *Index {
	sorted := slices.Clone(servers)
	slices.Sort(sorted)
	return newIndex(version, slices.Compact(sorted))
}

func newIndex(version uint32, servers []uint32) *Index {
	index := &Index{version: version, servers: servers, positions: make(map[uint32]int, len(servers))}
	for position, server := range servers {
		index.positions[server] = position
	}
	return index
}

// Version returns the number of the index.
func (i *Index) Version() uint32 { return i.version }

// Contains reports whether the index has a server.
func (i *Index) Contains(server uint32) bool {
	_, ok := i.positions[server]
	return ok
}

// containsAll reports whether the index has all servers with requests.
func (i *Index) containsAll(loads map[uint32]int) bool {
	for server := range loads {
		if !i.Contains(server) {
			return false
		}
	}
	return true
}

// EncodeIndex encodes an index.
func EncodeIndex(index *Index) *wire.ServerIndex {
	return &wire.ServerIndex{Version: index.version, Servers: index.servers}
}

// DecodeIndex decodes an index.
func DecodeIndex(message *wire.ServerIndex) *Index { return newIndex(message.Version, message.Servers) }
