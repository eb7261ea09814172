package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Sender queues one encoded envelope for another gateway. Send must not block.
type Sender interface {
	Send(address string, payload []byte) error
}

// Clock is a hybrid logical clock. Observe advances it to a received timestamp.
type Clock interface {
	Now() timeline.Timestamp
	Observe(timeline.Timestamp)
}

// Publisher receives the state that the request path reads. Its methods are called from the loop's goroutine.
type Publisher interface {
	// SetConfig is called when a configuration is put in force, before SetSnapshot is called for it.
	SetConfig(c *config.Config)
	// SetSnapshot is called with the current snapshot after each change of it or of the configuration in force.
	SetSnapshot(s *cell.Snapshot)
}

// Options configures a Loop.
type Options struct {
	Host string
	Team string
	// Incarnation is the random value by which other gateways detect a restart of this process.
	Incarnation uint64
	// Seed and Incarnation seed the random number generator, for example for random delays.
	Seed uint64
	// Seeds holds peer addresses by host name. These gateways are queried while the gateway holds no configuration.
	Seeds  map[string]string
	Sender Sender
	Store  store.Store
	// Start is the origin of the monotonic time that is passed to the state machines.
	Start     time.Time
	Clock     Clock
	Recorder  timeline.Recorder
	Publisher Publisher
	Log       *logrus.Entry
}
