package storetest

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

type watched struct {
	entry store.Entry
	err   error
}

// watch starts a watch and returns once it waits.
func watch(ctx context.Context, f Fixture, version uint64) <-chan watched {
	before := f.Backing.WaitingWatches()
	result := make(chan watched, 1)
	go func() {
		entry, err := f.Store.Watch(ctx, "key", version)
		result <- watched{entry, err}
	}()
	waitFor(func() bool { return f.Backing.WaitingWatches() > before || len(result) > 0 })
	return result
}

func waitFor(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// testWatch guards against missed writes, and against watches that outlive their context.
func testWatch(t *testing.T, f Fixture) {
	ctx, cancel := context.WithCancel(t.Context())
	created := watch(ctx, f, 0)
	first := mustWrite(t, f, 0, "1")
	if got := <-created; got.err != nil || string(got.entry.Value) != "1" || got.entry.Version != first.Version {
		t.Fatalf("watch of a new key returned %+v", got)
	}
	second := mustWrite(t, f, first.Version, "2")
	if got := <-watch(ctx, f, first.Version); got.err != nil || string(got.entry.Value) != "2" {
		t.Fatalf("watch of an old version returned %+v", got)
	}
	ended := watch(ctx, f, second.Version)
	cancel()
	got := <-ended
	wantError(t, got.err, context.Canceled)
	wantError(t, got.err, store.ErrUnavailable)
	waitFor(func() bool { return f.Backing.WaitingWatches() == 0 })
}

// testWatchLag guards against a stand-in whose watches lag but then miss the write.
func testWatchLag(t *testing.T, f Fixture) {
	const lag = time.Second
	f.Backing.SetWatchLag(lag)
	result := watch(t.Context(), f, 0)
	mustWrite(t, f, 0, "1")
	f.Clock.Advance(lag - 1)
	runtime.Gosched()
	if len(result) > 0 {
		t.Fatal("watch returned before its lag")
	}
	// The watch may have read the clock before it was advanced and set its timer after that, so that it needs up to
	// another lag. Steps of 1 ns would then take minutes.
	for len(result) == 0 {
		f.Clock.Advance(lag)
		runtime.Gosched()
	}
	if got := <-result; got.err != nil || string(got.entry.Value) != "1" {
		t.Fatalf("watch returned %+v", got)
	}
}

// testDown guards against calls that hang or succeed while the store is down.
func testDown(t *testing.T, f Fixture) {
	entry := mustWrite(t, f, 0, "1")
	result := watch(t.Context(), f, entry.Version)
	f.Backing.SetDown(true)
	wantError(t, (<-result).err, store.ErrUnavailable)
	for _, call := range everyCall(t.Context(), f.Store) {
		wantError(t, call(), store.ErrUnavailable)
	}
	f.Backing.SetDown(false)
	if got := mustGet(t, f); got.Version != entry.Version {
		t.Fatalf("write while down took effect: %+v", got)
	}
}

// testSlow guards against calls that ignore the deadline of their context.
func testSlow(t *testing.T, f Fixture) {
	f.Backing.SetDelay(func(store.Call) time.Duration { return time.Hour })
	for i, call := range everyCall(expired(t), f.Store) {
		if err := call(); !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("call %d returned %v", i, err)
		}
	}
	f.Backing.SetDelay(nil)
	_, err := f.Store.Get(t.Context(), "key")
	wantError(t, err, store.ErrNotFound)
}

func expired(t *testing.T) context.Context {
	ctx, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	t.Cleanup(cancel)
	return ctx
}

func everyCall(ctx context.Context, s store.Store) []func() error {
	return []func() error{
		func() error { _, err := s.Get(ctx, "key"); return err },
		func() error { _, err := s.CompareAndSwap(ctx, "key", 1, nil); return err },
		func() error { _, err := s.Watch(ctx, "key", 0); return err },
		func() error { return s.Acquire(ctx, "lease", "a", time.Second) },
		func() error { return s.Renew(ctx, "lease", "a", time.Second) },
	}
}
