package confsim

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// Options describe a network.
type Options struct {
	Seed uint64
	// Regions, ZonesPerRegion, CellsPerZone and HostsPerCell give its size.
	Regions, ZonesPerRegion, CellsPerZone, HostsPerCell int
	// MaxCells bounds the number of cells. Default: no bound.
	MaxCells int
	// Tick is the time between two calls of Tick on each gateway.
	Tick time.Duration
	// Lost is the part of messages that are lost, from 0 to 1.
	Lost float64
	// WatchLag is the delay of watches.
	WatchLag time.Duration
	// Store holds the configuration.
	Store *store.MemoryStore
	// OnShow is called when a gateway puts a version in force.
	OnShow func(host *Host)
	// Started skips the search of fresh gateways at the beginning: all start from the store's value.
	Started bool
	// NoWatches cuts the gateways off from the store, except for accepts.
	NoWatches bool
}
