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
		return kvtest.StoreUnderTest{Store: memory, Compact: memory.Compact}
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
