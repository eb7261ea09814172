package node

import (
	"reflect"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/home"
)

// appliedView identifies the ownership that a dispatcher has. The cell never changes published ownership in
// place, so that the same storage means the same content.
type appliedView struct {
	owners  *cell.Owner
	hotKeys uintptr
}

func viewID(v *cell.ServiceView) appliedView {
	id := appliedView{hotKeys: reflect.ValueOf(v.HotKeys).Pointer()}
	if len(v.Owners) > 0 {
		id.owners = &v.Owners[0]
	}
	return id
}

// apply gives the dispatcher its assignment if it has changed.
func (e *homeEntry) apply(v *cell.ServiceView) {
	if v == nil || !e.server.service.Keyed {
		return
	}
	id := viewID(v)
	if id == e.applied {
		return
	}
	e.applied = id
	e.dispatcher.Apply(home.AssignmentOf(v, e.server.server.Name))
}
