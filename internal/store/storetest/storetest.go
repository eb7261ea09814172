// Package storetest holds the contract tests that every implementation of store.Store must pass.
package storetest

import (
	"flag"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// Fixes the seed of rapid, so that runs are reproducible. The command-line flag takes precedence.
var _ = flag.Set("rapid.seed", "1")

// Fixture is a store under test with the in-memory store that backs it.
type Fixture struct {
	// Store is the implementation under test.
	Store store.Store
	// Backing holds the data and injects the faults.
	Backing *store.MemoryStore
	// Clock is the clock of Backing.
	Clock *Clock
}

// Run runs the contract tests. newFixture returns a fixture with an empty store.
func Run(t *testing.T, newFixture func(t *testing.T) Fixture) {
	for _, test := range []struct {
		name string
		run  func(*testing.T, Fixture)
	}{
		{"sequential model", testSequentialModel},
		{"concurrent writes", testConcurrentWrites},
		{"value size limit", testValueSizeLimit},
		{"values are copies", testValuesAreCopies},
		{"watch", testWatch},
		{"watch lag", testWatchLag},
		{"leases", testLeases},
		{"lost responses", testLostResponses},
		{"down", testOutage},
		{"slow", testDeadlines},
		{"restore", testRestore},
		{"calls", testCallCounts},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, newFixture(t)) })
	}
}
