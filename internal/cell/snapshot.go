// Package cell decides ownership within a cell, a group of gateways and backend servers: which server owns each
// partition and hot key, and which gateway is the home of each server, the only one that sends requests to it. One
// gateway of the cell, the holder, decides. Its successor takes over from it, and an arbiter decides if both claim the
// authority. The package is a deterministic state machine: it has no clock, network or goroutine, and takes monotonic
// time as an argument.
//
// One goroutine owns a Node. It calls Configure with each accepted configuration, Tick at least once per TickInterval,
// Receive for each message of another gateway, Report for what the local homes observe, and HandleStoreResult for each
// finished StoreRequest. Every call takes the monotonic time since the start of the process and returns an Output:
// messages to send to hosts, requests to the store, events to record, and whether Snapshot returns a new view. The
// caller publishes the snapshot to the goroutines that handle requests. Homes compare HomeLeaseEnd with their own clock
// right before they send each request. A planned stop is a call of Leave, a wait until HasLeft returns true, and a call
// of Stop.
package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Snapshot is an immutable view of a cell, for the handling of requests.
type Snapshot struct {
	Generation uint64
	Term       uint64
	// Holder is the host that decides ownership, or "" if none is known.
	Holder string
	// IsHolder is true if this gateway is the holder.
	IsHolder bool
	// Successor is the host that takes over from the holder, or "" if there is none.
	Successor string
	// Arbiter is the host that decides between claims, "store", or "" if there is none.
	Arbiter string
	// Role is the role of this gateway in the cell.
	Role Role
	// Version is the version of the table within its generation.
	Version uint64
	// Acknowledged is the version through which assignments survive the loss of one gateway (H7). Later versions are
	// provisional.
	Acknowledged uint64
	// HomeLeaseEnd is the end of this gateway's home lease, in monotonic time since process start.
	HomeLeaseEnd time.Duration
	// Servers holds each backend server of the cell by name.
	Servers map[string]ServerView
	// Services holds the ownership of each keyed service by name.
	Services map[string]*ServiceView
}

// ServerState states which work a backend server may get.
type ServerState string

// States of a backend server.
const (
	ServerUp       ServerState = "up"
	ServerDraining ServerState = "draining"
	ServerDown     ServerState = "down"
)

// ServerView is one backend server in the published table.
type ServerView struct {
	Name    string
	Service string
	// Home is the host of the gateway that sends requests to the server, or "" while there is none.
	Home string
	// Local is true if this process is the home, rather than an earlier one on the same host.
	Local bool
	// Token orders the homes of the server. The ServerRelease of the server must contain it.
	Token fence.Token
	// Releasing is true while the home must stop using the server, withdraw its grants and report the release.
	Releasing bool
	State     ServerState
}

// ServiceView is the ownership of the partitions of one service within the cell.
type ServiceView struct {
	// Owners has an entry for each partition of the service.
	Owners []Owner
	// HotKeys holds the keys that have an owner apart from their partition.
	HotKeys map[string]Owner
}

// Owner is the ownership of one partition or hot key.
type Owner struct {
	// Server is the name of the owning backend server, or "" if the partition has none or belongs to another cell.
	Server string
	Token  fence.Token
	// Releasing is true while the home must stop sending requests for the unit and report the release.
	Releasing bool
}

// OwnerOf returns the owner of key.
func (v *ServiceView) OwnerOf(key string) Owner {
	if owner, ok := v.HotKeys[key]; ok {
		return owner
	}
	return v.Owners[keyspace.PartitionOf(key, len(v.Owners))]
}
