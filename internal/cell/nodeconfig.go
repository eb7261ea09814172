package cell

import (
	"math/rand/v2"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// NodeConfig holds the parameters of a Node.
type NodeConfig struct {
	// Host is the name of the gateway's host in the configuration.
	Host string
	// Incarnation is the random value of this process. It must not be 0.
	Incarnation uint64
	// WallStart is the wall clock time at monotonic time 0. It is used only for planned stops.
	WallStart time.Time
	// ConfigKey is the store key of the accepted configuration, and ConfigRevision reads the revision from its value.
	// With them, a start or recovery waits until Configure was called with the revision that the store has.
	ConfigKey      string
	ConfigRevision func(value []byte) (uint64, error)
	// Random is the source of random delays. It is required.
	Random *rand.Rand
	// Assign is the assignment policy. Default: AssignEvenly.
	Assign AssignFunc
}

// OutgoingMessage is a message addressed to the gateway on a host.
type OutgoingMessage struct {
	To      string
	Message *wire.Control
}

// Output is the result of one step. The caller must send, store and record all of it.
type Output struct {
	Messages []OutgoingMessage
	Store    []StoreRequest
	Events   []timeline.Event
	// Changed is true if Snapshot returns another view than before the step.
	Changed bool
}
