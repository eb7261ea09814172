package confsim

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// Options describes a network.
type Options struct {
	Seed uint64
	// Regions, ZonesPerRegion, CellsPerZone and HostsPerCell determine the size of the network.
	Regions, ZonesPerRegion, CellsPerZone, HostsPerCell int
	// MaxCells limits the number of cells. 0 means no limit.
	MaxCells int
	// Tick is the interval of Node.Tick calls on each gateway.
	Tick time.Duration
	// MessageLoss is the fraction of messages that are lost, from 0 to 1.
	MessageLoss float64
	// WatchLag is the delay between a write and the notification of watches.
	WatchLag time.Duration
	// Store contains the configuration.
	Store *store.MemoryStore
	// OnInForce is called when a gateway puts a document in force.
	OnInForce func(host *Host)
	// SkipStart skips the start procedure at the beginning of the run: all gateways begin with the value of the store.
	SkipStart bool
	// StoreUnreachable makes the store unavailable to gateways, except for accept operations.
	StoreUnreachable bool
}
