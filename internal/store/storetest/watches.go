package storetest

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

type watchResult struct {
	entry store.Entry
	err   error
}

// startWatch starts a watch in a goroutine and returns once the watch is blocked or has returned.
func startWatch(ctx context.Context, f Fixture, version uint64) <-chan watchResult {
	before := f.Backing.WaitingWatches()
	result := make(chan watchResult, 1)
	go func() {
		entry, err := f.Store.Watch(ctx, "key", version)
		result <- watchResult{entry, err}
	}()
	waitUntil(func() bool { return f.Backing.WaitingWatches() > before || len(result) > 0 })
	return result
}

func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// testWatch guards against watches that miss a write, and against watches that continue after their context has ended.
func testWatch(t *testing.T, f Fixture) {
	ctx, cancel := context.WithCancel(t.Context())
	created := startWatch(ctx, f, 0)
	first := mustWrite(t, f, 0, "1")
	if got := <-created; got.err != nil || string(got.entry.Value) != "1" || got.entry.Version != first.Version {
		t.Fatalf("watch of a new key returned %+v", got)
	}
	second := mustWrite(t, f, first.Version, "2")
	if got := <-startWatch(ctx, f, first.Version); got.err != nil || string(got.entry.Value) != "2" {
		t.Fatalf("watch of an old version returned %+v", got)
	}
	canceled := startWatch(ctx, f, second.Version)
	cancel()
	got := <-canceled
	wantError(t, got.err, context.Canceled)
	wantError(t, got.err, store.ErrUnavailable)
	waitUntil(func() bool { return f.Backing.WaitingWatches() == 0 })
}

// testWatchLag guards against an injected watch lag that is not applied or that makes a watch miss the write.
func testWatchLag(t *testing.T, f Fixture) {
	const lag = time.Second
	f.Backing.SetWatchLag(lag)
	result := startWatch(t.Context(), f, 0)
	mustWrite(t, f, 0, "1")
	f.Clock.Advance(lag - 1)
	runtime.Gosched()
	if len(result) > 0 {
		t.Fatal("watch returned before the lag had elapsed")
	}
	// If the watch read the clock before Advance but set its timer afterwards, it needs up to another lag. Advancing
	// in steps of 1 ns would then take minutes.
	for len(result) == 0 {
		f.Clock.Advance(lag)
		runtime.Gosched()
	}
	if got := <-result; got.err != nil || string(got.entry.Value) != "1" {
		t.Fatalf("watch returned %+v", got)
	}
}

// testOutage guards against calls that block or succeed while the store is down.
func testOutage(t *testing.T, f Fixture) {
	entry := mustWrite(t, f, 0, "1")
	result := startWatch(t.Context(), f, entry.Version)
	f.Backing.SetDown(true)
	wantError(t, (<-result).err, store.ErrUnavailable)
	for _, call := range allCalls(t.Context(), f.Store) {
		wantError(t, call(), store.ErrUnavailable)
	}
	f.Backing.SetDown(false)
	if got := mustGet(t, f); got.Version != entry.Version {
		t.Fatalf("write during the outage took effect: %+v", got)
	}
}

// testDeadlines guards against calls to a slow store that ignore the deadline of their context.
func testDeadlines(t *testing.T, f Fixture) {
	f.Backing.SetDelay(func(store.Call) time.Duration { return time.Hour })
	for i, call := range allCalls(expiredContext(t), f.Store) {
		if err := call(); !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("call %d returned %v, want DeadlineExceeded and ErrUnavailable", i, err)
		}
	}
	f.Backing.SetDelay(nil)
	_, err := f.Store.Get(t.Context(), "key")
	wantError(t, err, store.ErrNotFound)
}

func expiredContext(t *testing.T) context.Context {
	ctx, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	t.Cleanup(cancel)
	return ctx
}

func allCalls(ctx context.Context, s store.Store) []func() error {
	return []func() error{
		func() error { _, err := s.Get(ctx, "key"); return err },
		func() error { _, err := s.CompareAndSwap(ctx, "key", 1, nil); return err },
		func() error { _, err := s.Watch(ctx, "key", 0); return err },
		func() error { return s.Acquire(ctx, "lease", "a", time.Second) },
		func() error { return s.Renew(ctx, "lease", "a", time.Second) },
	}
}
