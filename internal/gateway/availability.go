package gateway

import (
	"slices"
)

// AllServicesAvailable reports whether the gateway's cell can serve all of its services: every partition that belongs to the cell has
// an owner with a home gateway, and every service that is not partitioned by key has a usable backend server if it has
// any in the cell.
func (g *Gateway) AllServicesAvailable() bool {
	v := g.table.Load()
	if v == nil || v.Snapshot.Holder == "" {
		return false
	}
	for name, route := range v.services {
		if route.Keyed && !v.hasAllOwners(name, route) {
			return false
		}
		if !route.Keyed && len(route.localServers) > 0 && !slices.ContainsFunc(route.localServers, v.isUsable) {
			return false
		}
	}
	return true
}

func (v *RoutingTable) isUsable(server string) bool { return isUsable(v.Snapshot, server) }

func (v *RoutingTable) hasAllOwners(name string, route *serviceRoute) bool {
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
