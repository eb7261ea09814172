package kv_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/kv/kvtest"
)

func TestMemory(t *testing.T) {
	kvtest.Run(t, func(*testing.T) kvtest.StoreUnderTest {
		memory := kv.NewMemoryStore()
		return kvtest.StoreUnderTest{Store: memory, Compact: memory.Compact, Copy: copyOf(memory)}
	})
}

// Guards against a lease that expires although it is renewed, and against one that does not expire without renewal.
func TestMemoryLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := kv.NewMemoryStore()
		lease, err := memory.GrantLease(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			time.Sleep(900 * time.Millisecond)
			if _, err := memory.RenewLease(t.Context(), lease); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(1100 * time.Millisecond)
		if _, err := memory.RenewLease(t.Context(), lease); !errors.Is(err, kv.ErrLeaseNotFound) {
			t.Fatalf("error %v, want %v", err, kv.ErrLeaseNotFound)
		}
	})
}

// copyOf returns a function that copies a store and returns one that restores the copy.
func copyOf(memory *kv.MemoryStore) func() func() {
	return func() func() {
		copied := memory.Copy()
		return func() { memory.Restore(copied) }
	}
}
