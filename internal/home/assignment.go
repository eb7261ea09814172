package home

import (
	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// OwnedScope is one scope that the backend server owns.
type OwnedScope struct {
	Scope backend.Scope
	Token fence.Token
	// Releasing is true while the home must not dispatch requests for the scope and must report its release.
	Releasing bool
}

// Assignment lists everything that the backend server owns. It is complete: a scope that is not listed is not owned. It
// is empty for services that are not sharded.
type Assignment struct {
	Owned []OwnedScope
	// RemoteHotKeys holds the hot keys that other backend servers own, although this server may own their partitions.
	// The dispatcher retains the map, so it must not be modified.
	RemoteHotKeys map[string]bool
}

// AssignmentOf returns the assignment of a backend server according to the ownership table of its service. It is empty
// if view is nil.
func AssignmentOf(view *cell.ServiceView, server string) Assignment {
	assignment := Assignment{RemoteHotKeys: make(map[string]bool)}
	if view == nil {
		return assignment
	}
	for partition, owner := range view.Owners {
		if owner.Server == server {
			scope := backend.Scope{Partition: keyspace.Partition(partition)}
			assignment.Owned = append(assignment.Owned, ownedBy(owner, scope))
		}
	}
	for key, owner := range view.HotKeys {
		if owner.Server != server {
			assignment.RemoteHotKeys[key] = true
			continue
		}
		assignment.Owned = append(assignment.Owned, ownedBy(owner, backend.Scope{HotKey: key}))
	}
	return assignment
}

func ownedBy(owner cell.Owner, scope backend.Scope) OwnedScope {
	return OwnedScope{Scope: scope, Token: owner.Token, Releasing: owner.Releasing}
}
