package node

import (
	"reflect"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/home"
)

// ownershipIdentity identifies the ownership that was last applied to a dispatcher, by the addresses of its storage.
// Package cell never modifies published ownership in place, so equal addresses mean equal content.
type ownershipIdentity struct {
	owners  *cell.Owner
	hotKeys uintptr
}

func identifyOwnership(v *cell.ServiceView) ownershipIdentity {
	id := ownershipIdentity{hotKeys: reflect.ValueOf(v.HotKeys).Pointer()}
	if len(v.Owners) > 0 {
		id.owners = &v.Owners[0]
	}
	return id
}

// updateOwnership applies the assignment of the server to the dispatcher if it has changed.
func (e *dispatcherEntry) updateOwnership(v *cell.ServiceView) {
	if v == nil || !e.backend.service.Keyed {
		return
	}
	id := identifyOwnership(v)
	if id == e.appliedOwnership {
		return
	}
	e.appliedOwnership = id
	e.dispatcher.Apply(home.AssignmentOf(v, e.backend.server.Name))
}
