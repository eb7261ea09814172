package bench

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

// router is a system under test, which assigns an owner to each key.
type router interface {
	// name returns the name of the system in reports.
	name() string
	// ownerOf returns the index of the server that owns the key.
	ownerOf(key int32) int32
	// recordRequest counts a request for the key.
	recordRequest(key int32)
	// assignOwners runs one assignment round on the recorded requests and counts the resulting moves.
	assignOwners(now time.Duration, servers []assign.Server) moveCounts
}

// moveCounts counts the moves of one round.
type moveCounts struct {
	moves int
	// keys is the number of keys that moved.
	keys int
	// lostKeys is the number of keys that moved because their owner was down.
	lostKeys int
}
