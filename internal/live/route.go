package live

import (
	"math/rand/v2"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/dev"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// zoneRoutes sends each request for a key to a gateway in the zone that owns the key, as callers inside a zone that is
// cut off do. Other requests go to any gateway.
type zoneRoutes struct {
	services   map[string]*config.Service
	placements map[string]*config.Placement
	// callers holds the caller addresses of each cell.
	callers map[string][]string
	zones   map[string]string
}

func newZoneRoutes(c *config.Config) *zoneRoutes {
	z := &zoneRoutes{
		services:   make(map[string]*config.Service),
		placements: make(map[string]*config.Placement),
		callers:    make(map[string][]string),
		zones:      make(map[string]string),
	}
	for i := range c.Services {
		if s := &c.Services[i]; s.Keyed {
			z.services[s.Name], z.placements[s.Name] = s, c.Place(s)
		}
	}
	for _, host := range c.Hosts {
		z.callers[host.Cell] = append(z.callers[host.Cell], host.CallerAddress)
		z.zones[host.CallerAddress] = host.Zone
	}
	return z
}

func (z *zoneRoutes) pick(service, key string) (string, bool) {
	s, ok := z.services[service]
	if !ok {
		return "", false
	}
	callers := z.callers[z.placements[service].Cell(keyspace.PartitionOf(key, s.Partitions))]
	return callers[rand.IntN(len(callers))], true
}

// route returns the choice of gateways of a run.
func (r *run) route() dev.Route {
	if !r.scenario.faults {
		return nil
	}
	return newZoneRoutes(r.deployment.Config).pick
}
