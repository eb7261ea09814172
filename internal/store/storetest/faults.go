package storetest

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

const ttl = 10 * time.Second

// testLeases guards against two holders of one lease, also after a pause of the first.
func testLeases(t *testing.T, f Fixture) {
	ctx := t.Context()
	wantError(t, f.Store.Renew(ctx, "lease", "a", ttl), store.ErrLeaseLost)
	wantError(t, f.Store.Acquire(ctx, "lease", "a", ttl), nil)
	wantError(t, f.Store.Acquire(ctx, "lease", "a", ttl), nil)
	wantError(t, f.Store.Acquire(ctx, "lease", "b", ttl), store.ErrConflict)
	f.Clock.Advance(ttl - 1)
	wantError(t, f.Store.Renew(ctx, "lease", "a", ttl), nil)
	f.Clock.Advance(ttl - 1)
	wantError(t, f.Store.Acquire(ctx, "lease", "b", ttl), store.ErrConflict)
	f.Clock.Advance(1)
	wantError(t, f.Store.Renew(ctx, "lease", "a", ttl), store.ErrLeaseLost)
	wantError(t, f.Store.Acquire(ctx, "lease", "b", ttl), nil)
	f.Backing.ExpireLease("lease")
	wantError(t, f.Store.Renew(ctx, "lease", "b", ttl), store.ErrLeaseLost)
}

// testLostAnswers guards against an implementation that repeats a write whose answer was lost, or hides the loss.
func testLostAnswers(t *testing.T, f Fixture) {
	f.Backing.DropResponses(2)
	_, err := f.Store.CompareAndSwap(t.Context(), "key", 0, []byte("1"))
	wantError(t, err, store.ErrUnavailable)
	entry := mustGet(t, f)
	if string(entry.Value) != "1" {
		t.Fatalf("write was not applied: %+v", entry)
	}
	wantError(t, f.Store.Acquire(t.Context(), "lease", "a", ttl), store.ErrUnavailable)
	wantError(t, f.Store.Renew(t.Context(), "lease", "a", ttl), nil)
	mustWrite(t, f, entry.Version, "2")
	if calls := f.Backing.Calls(); calls.CompareAndSwap != 2 {
		t.Fatalf("a write was repeated: %+v", calls)
	}
}

// testRestore guards against a restored store that gives one version to two values, and shows the faults that
// readers must withstand: stale reads and a value that goes back.
func testRestore(t *testing.T, f Fixture) {
	first := mustWrite(t, f, 0, "1")
	second := mustWrite(t, f, first.Version, "2")
	f.Backing.SetStaleReads(1)
	if got := mustGet(t, f); string(got.Value) != "1" {
		t.Fatalf("stale read returned %q", got.Value)
	}
	f.Backing.SetStaleReads(2)
	_, err := f.Store.Get(t.Context(), "key")
	wantError(t, err, store.ErrNotFound)
	f.Backing.SetStaleReads(0)
	wantError(t, f.Backing.Restore("key", first.Version), nil)
	if got := mustGet(t, f); string(got.Value) != "1" || got.Version != first.Version {
		t.Fatalf("restored to %+v", got)
	}
	_, err = f.Store.CompareAndSwap(t.Context(), "key", second.Version, []byte("lost"))
	wantError(t, err, store.ErrConflict)
	if third := mustWrite(t, f, first.Version, "3"); third.Version <= second.Version {
		t.Fatalf("version %d was given again", third.Version)
	}
}

// testCalls guards against polling: a waiting watch is one call.
func testCalls(t *testing.T, f Fixture) {
	result := watch(t.Context(), f, 0)
	for range 3 {
		f.Backing.SetWatchLag(0) // wakes the watch without a write
	}
	entry := mustWrite(t, f, 0, "1")
	<-result
	mustGet(t, f)
	_, err := f.Store.CompareAndSwap(t.Context(), "key", entry.Version, []byte("2"))
	wantError(t, err, nil)
	wantError(t, f.Store.Acquire(t.Context(), "lease", "a", ttl), nil)
	wantError(t, f.Store.Renew(t.Context(), "lease", "a", ttl), nil)
	want := store.CallCounts{Get: 1, CompareAndSwap: 2, Watch: 1, Acquire: 1, Renew: 1}
	if got := f.Backing.Calls(); got != want || got.Total() != 6 || got.Reads() != 2 || got.Writes() != 4 {
		t.Fatalf("calls %+v, want %+v", got, want)
	}
}
