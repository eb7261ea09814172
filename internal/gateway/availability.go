package gateway

import (
	"slices"
)

// AllServicesAvailable reports whether the gateway's cell can serve all of its services: every partition that belongs
// to the cell has an owner with a home gateway, and every service that is not sharded has a usable backend server if it
// has any in the cell.
func (g *Gateway) AllServicesAvailable() bool {
	table := g.table.Load()
	if table == nil || table.Snapshot.Holder == "" {
		return false
	}
	for name, route := range table.services {
		if route.Keyed && !table.hasAllOwners(name, route) {
			return false
		}
		if !route.Keyed && len(route.localServers) > 0 && !slices.ContainsFunc(route.localServers, table.isUsable) {
			return false
		}
	}
	return true
}

func (t *RoutingTable) isUsable(server string) bool { return isUsable(t.Snapshot, server) }

func (t *RoutingTable) hasAllOwners(name string, route *serviceRoute) bool {
	service := t.Snapshot.Services[name]
	for partition, index := range route.placement.ByPartition {
		if route.placement.Cells[index] != t.Cell {
			continue
		}
		if service == nil || t.Snapshot.Servers[service.Owners[partition].Server].Home == "" {
			return false
		}
	}
	return true
}
