package gateway

import (
	"slices"
)

// Serves reports whether every partition of this cell has an owner with a home, and every other service of the
// cell a backend server that is up.
func (g *Gateway) Serves() bool {
	v := g.view.Load()
	if v == nil || v.Snapshot.Holder == "" {
		return false
	}
	for name, route := range v.services {
		if route.Keyed && !v.servesKeyed(name, route) {
			return false
		}
		if !route.Keyed && len(route.local) > 0 && !slices.ContainsFunc(route.local, v.isUsable) {
			return false
		}
	}
	return true
}

func (v *View) isUsable(server string) bool { return isUsable(v.Snapshot, server) }

func (v *View) servesKeyed(name string, route *serviceRoute) bool {
	service := v.Snapshot.Services[name]
	for partition, index := range route.placement.ByPartition {
		if route.placement.Cells[index] != v.Cell {
			continue
		}
		if service == nil || v.Snapshot.Servers[service.Owners[partition].Server].Home == "" {
			return false
		}
	}
	return true
}
