package bench

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

// router is a system under test: it decides the owner of each key.
type router interface {
	// name returns the name of the system in tables.
	name() string
	// ownerOf returns the index of the server that owns a key.
	ownerOf(key int32) int32
	// observe counts a request for a key.
	observe(key int32)
	// round decides the owners from the observations and returns what moved.
	round(now time.Duration, servers []assign.Server) movement
}

// movement is what moved in one round.
type movement struct {
	moves int
	// keys counts the moved keys.
	keys int
	// lost counts the keys whose owner was down.
	lost int
}
