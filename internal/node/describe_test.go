package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// describe returns what each gateway believes of the backend servers and what these have seen, for a condition that does not
// come true.
func (c *cluster) describe() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
		snapshot := c.nodes[name].Gateway().RoutingTable().Snapshot
		fmt.Fprintf(&text, "gateway %s: holder %v, generation %d, version %d, acknowledged %d\n",
			name, snapshot.IsHolder, snapshot.Generation, snapshot.Version, snapshot.Acknowledged)
		owned := make(map[string]int)
		for _, service := range snapshot.Services {
			for _, owner := range service.Owners {
				owned[owner.Server]++
			}
		}
		for _, server := range slices.Sorted(maps.Keys(snapshot.Servers)) {
			view := snapshot.Servers[server]
			fmt.Fprintf(&text, "  %s: %s, home %q, %d partitions\n", server, view.State, view.Home, owned[server])
		}
	}
	for _, server := range slices.Sorted(maps.Keys(c.servers)) {
		fmt.Fprintf(&text, "server %s: %+v\n", server, c.servers[server].Counters())
	}
	return text.String()
}
