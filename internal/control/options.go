package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Sender queues one encoded envelope for a gateway. It must not block.
type Sender interface {
	Send(address string, payload []byte) error
}

// Clock reads the time and passes hybrid time stamps.
type Clock interface {
	Now() timeline.Timestamp
	Observe(timeline.Timestamp)
}

// Publisher takes the state that traffic reads. It is called from the loop's goroutine.
type Publisher interface {
	// Configured is called when another configuration comes in force, before Published.
	Configured(c *config.Config)
	// Published is called after each change of the snapshot.
	Published(s *cell.Snapshot)
}

// Options are the parts of a Loop.
type Options struct {
	Host string
	Team string
	// Incarnation is the random value of this process.
	Incarnation uint64
	// Seed seeds random delays.
	Seed uint64
	// Seeds are gateways to ask before there is a configuration, by host name.
	Seeds  map[string]string
	Sender Sender
	Store  store.Store
	// Start is the beginning of monotonic time.
	Start     time.Time
	Clock     Clock
	Recorder  timeline.Recorder
	Publisher Publisher
	Log       *logrus.Entry
}
