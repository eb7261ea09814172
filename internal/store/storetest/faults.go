package storetest

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

const leaseTTL = 10 * time.Second

// testLeases guards against two holders of one lease, also when the first one was paused until its lease expired.
func testLeases(t *testing.T, f Fixture) {
	ctx := t.Context()
	wantError(t, f.Store.Renew(ctx, "lease", "a", leaseTTL), store.ErrLeaseLost)
	wantError(t, f.Store.Acquire(ctx, "lease", "a", leaseTTL), nil)
	wantError(t, f.Store.Acquire(ctx, "lease", "a", leaseTTL), nil)
	wantError(t, f.Store.Acquire(ctx, "lease", "b", leaseTTL), store.ErrConflict)
	f.Clock.Advance(leaseTTL - 1)
	wantError(t, f.Store.Renew(ctx, "lease", "a", leaseTTL), nil)
	f.Clock.Advance(leaseTTL - 1)
	wantError(t, f.Store.Acquire(ctx, "lease", "b", leaseTTL), store.ErrConflict)
	f.Clock.Advance(1)
	wantError(t, f.Store.Renew(ctx, "lease", "a", leaseTTL), store.ErrLeaseLost)
	wantError(t, f.Store.Acquire(ctx, "lease", "b", leaseTTL), nil)
	f.Backing.ExpireLease("lease")
	wantError(t, f.Store.Renew(ctx, "lease", "b", leaseTTL), store.ErrLeaseLost)
}

// testLostResponses guards against an implementation that retries a write whose response was lost, or that
// does not report the loss.
func testLostResponses(t *testing.T, f Fixture) {
	f.Backing.DropResponses(2)
	_, err := f.Store.CompareAndSwap(t.Context(), "key", 0, []byte("1"))
	wantError(t, err, store.ErrUnavailable)
	entry := mustGet(t, f)
	if string(entry.Value) != "1" {
		t.Fatalf("write with a lost response did not take effect: %+v", entry)
	}
	wantError(t, f.Store.Acquire(t.Context(), "lease", "a", leaseTTL), store.ErrUnavailable)
	wantError(t, f.Store.Renew(t.Context(), "lease", "a", leaseTTL), nil)
	mustWrite(t, f, entry.Version, "2")
	if calls := f.Backing.Calls(); calls.CompareAndSwap != 2 {
		t.Fatalf("calls %+v, want 2 compare-and-swap; a write was retried", calls)
	}
}

// testRestore guards against a store that assigns one version to two values after a restore. It also covers the faults
// that readers must tolerate: stale reads, and a value that reverts to an earlier one.
func testRestore(t *testing.T, f Fixture) {
	first := mustWrite(t, f, 0, "1")
	second := mustWrite(t, f, first.Version, "2")
	f.Backing.SetStaleReads(1)
	if got := mustGet(t, f); string(got.Value) != "1" {
		t.Fatalf("stale read returned %q, want \"1\"", got.Value)
	}
	f.Backing.SetStaleReads(2)
	_, err := f.Store.Get(t.Context(), "key")
	wantError(t, err, store.ErrNotFound)
	f.Backing.SetStaleReads(0)
	wantError(t, f.Backing.Restore("key", first.Version), nil)
	if got := mustGet(t, f); string(got.Value) != "1" || got.Version != first.Version {
		t.Fatalf("Get after the restore returned %+v", got)
	}
	_, err = f.Store.CompareAndSwap(t.Context(), "key", second.Version, []byte("lost"))
	wantError(t, err, store.ErrConflict)
	if third := mustWrite(t, f, first.Version, "3"); third.Version <= second.Version {
		t.Fatalf("version %d was assigned twice", third.Version)
	}
}

// testCallCounts guards against watches that poll: a blocked watch counts as one call.
func testCallCounts(t *testing.T, f Fixture) {
	result := startWatch(t.Context(), f, 0)
	for range 3 {
		f.Backing.SetWatchLag(0) // wakes the watch without a write
	}
	entry := mustWrite(t, f, 0, "1")
	<-result
	mustGet(t, f)
	_, err := f.Store.CompareAndSwap(t.Context(), "key", entry.Version, []byte("2"))
	wantError(t, err, nil)
	wantError(t, f.Store.Acquire(t.Context(), "lease", "a", leaseTTL), nil)
	wantError(t, f.Store.Renew(t.Context(), "lease", "a", leaseTTL), nil)
	want := store.CallCounts{Get: 1, CompareAndSwap: 2, Watch: 1, Acquire: 1, Renew: 1}
	if got := f.Backing.Calls(); got != want || got.Total() != 6 || got.Reads() != 2 || got.Writes() != 4 {
		t.Fatalf("calls %+v, want %+v", got, want)
	}
}
