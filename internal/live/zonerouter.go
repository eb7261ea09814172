package live

import (
	"math/rand/v2"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/dev"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// zoneRouter sends each request for a key to a gateway in the zone that owns the key, as clients inside an isolated
// zone do. Other requests go to any gateway.
type zoneRouter struct {
	services   map[string]*config.Service
	placements map[string]*config.Placement
	// clientAddresses holds the client addresses of the gateways of each cell.
	clientAddresses map[string][]string
	// zones maps a client address to the zone of its gateway.
	zones map[string]string
}

func newZoneRouter(c *config.Config) *zoneRouter {
	router := &zoneRouter{
		services:        make(map[string]*config.Service),
		placements:      make(map[string]*config.Placement),
		clientAddresses: make(map[string][]string),
		zones:           make(map[string]string),
	}
	for i := range c.Services {
		if s := &c.Services[i]; s.Keyed {
			router.services[s.Name], router.placements[s.Name] = s, c.Place(s)
		}
	}
	for _, host := range c.Hosts {
		router.clientAddresses[host.Cell] = append(router.clientAddresses[host.Cell], host.CallerAddress)
		router.zones[host.CallerAddress] = host.Zone
	}
	return router
}

// pick returns the client address of a random gateway of the cell that owns the key, or false if the service is not
// sharded.
func (z *zoneRouter) pick(service, key string) (string, bool) {
	s, ok := z.services[service]
	if !ok {
		return "", false
	}
	addresses := z.clientAddresses[z.placements[service].Cell(keyspace.PartitionOf(key, s.Partitions))]
	return addresses[rand.IntN(len(addresses))], true
}

// route returns the routing of requests to gateways, or nil to use the load balancer.
func (r *run) route() dev.RouteFunc {
	if !r.scenario.networkFaults {
		return nil
	}
	return newZoneRouter(r.deployment.Config).pick
}
