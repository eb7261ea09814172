// Package storetest is the contract that every store.Store must meet.
package storetest

import (
	"flag"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// Fixes the seed of rapid, so that the verdict is the same each time. The flag on the command line wins.
var _ = flag.Set("rapid.seed", "1")

// Fixture is one store under test together with the stand-in behind it.
type Fixture struct {
	// Store is the implementation under test.
	Store store.Store
	// Backing is the stand-in that holds the data. Its switches cause the faults.
	Backing *store.MemoryStore
	// Clock is the clock of Backing.
	Clock *Clock
}

// Run runs the contract against stores that open returns. Each call of open returns an empty store.
func Run(t *testing.T, open func(t *testing.T) Fixture) {
	for _, part := range []struct {
		name string
		run  func(*testing.T, Fixture)
	}{
		{"sequential model", testModel},
		{"one winner", testOneWinner},
		{"large values", testLargeValues},
		{"values are copies", testCopies},
		{"watch", testWatch},
		{"watch lag", testWatchLag},
		{"leases", testLeases},
		{"lost answers", testLostAnswers},
		{"down", testDown},
		{"slow", testSlow},
		{"restore", testRestore},
		{"calls", testCalls},
	} {
		t.Run(part.name, func(t *testing.T) { part.run(t, open(t)) })
	}
}
