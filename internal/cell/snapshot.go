// Package cell decides ownership within a cell. It is a pure state machine: it has no clock, network or
// goroutine, and takes monotonic time as an argument.
package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Snapshot is the view of a cell that traffic reads. It is immutable.
type Snapshot struct {
	Generation uint64
	Term       uint64
	// Holder is the host that decides ownership, or "" if none is known.
	Holder string
	// Self is true if this gateway is the holder.
	Self bool
	// Successor is the host that takes over from the holder, or "".
	Successor string
	// Arbiter is the host that settles a dispute, "store", or "".
	Arbiter string
	// HomeLeaseEnd is the end of this gateway's home lease, in monotonic time since process start.
	HomeLeaseEnd time.Duration
	// Servers holds each backend server of the cell by name.
	Servers map[string]ServerView
	// Services holds the ownership of each keyed service by name.
	Services map[string]*ServiceView
}

// ServerState says what work a backend server may get.
type ServerState string

// States of a backend server.
const (
	ServerUp       ServerState = "up"
	ServerDraining ServerState = "draining"
	ServerDown     ServerState = "down"
)

// ServerView is one backend server as the cell sees it.
type ServerView struct {
	Name    string
	Service string
	// Home is the host of the gateway that talks to the server, or "" while it has none.
	Home  string
	State ServerState
}

// ServiceView is the ownership of the partitions of one service within the cell.
type ServiceView struct {
	// Owners has an entry for each partition of the service.
	Owners []Owner
	// HotKeys holds the keys that are owned apart from their partition.
	HotKeys map[string]Owner
}

// Owner is the ownership of one partition or hot key.
type Owner struct {
	// Server is the name of the owning backend server, or "" if the partition has none or belongs to another cell.
	Server string
	Token  fence.Token
	// Releasing is true while the home must stop dispatching and report the release.
	Releasing bool
}

// OwnerOf returns the owner of key.
func (v *ServiceView) OwnerOf(key string) Owner {
	if owner, ok := v.HotKeys[key]; ok {
		return owner
	}
	return v.Owners[keyspace.Of(key, len(v.Owners))]
}
