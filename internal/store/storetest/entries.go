package storetest

import (
	"bytes"
	"strconv"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// testSequentialModel guards against results of sequential reads and writes that differ from those of a map.
func testSequentialModel(t *testing.T, f Fixture) {
	iteration := 0
	rapid.Check(t, func(rt *rapid.T) {
		iteration++
		versions, values := map[string]uint64{}, map[string][]byte{}
		for range rapid.IntRange(1, 15).Draw(rt, "steps") {
			name := rapid.SampledFrom([]string{"a", "cells/b c", "k&=?/ü"}).Draw(rt, "key")
			key := strconv.Itoa(iteration) + name
			entry, err := f.Store.Get(t.Context(), key)
			if versions[key] == 0 {
				wantError(rt, err, store.ErrNotFound)
			} else if err != nil || entry.Version != versions[key] || !bytes.Equal(entry.Value, values[key]) || entry.Key != key {
				rt.Fatalf("Get(%q) = %+v, %v, want version %d", key, entry, err, versions[key])
			}
			value := rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(rt, "value")
			offset := rapid.Uint64Range(0, 1).Draw(rt, "offset")
			written, err := f.Store.CompareAndSwap(t.Context(), key, versions[key]+offset, value)
			if offset != 0 {
				wantError(rt, err, store.ErrConflict)
				continue
			}
			if err != nil || written.Version <= versions[key] || !bytes.Equal(written.Value, value) || written.Key != key {
				rt.Fatalf("CompareAndSwap(%q, %d) = %+v, %v", key, versions[key], written, err)
			}
			versions[key], values[key] = written.Version, value
		}
	})
}

// testConcurrentWrites guards against concurrent writes of the same version that both succeed.
func testConcurrentWrites(t *testing.T, f Fixture) {
	const writers = 8
	var group sync.WaitGroup
	results := make([]error, writers)
	for i := range writers {
		group.Go(func() {
			_, results[i] = f.Store.CompareAndSwap(t.Context(), "key", 0, []byte{byte(i)})
		})
	}
	group.Wait()
	winner := -1
	for i, err := range results {
		if err == nil && winner >= 0 {
			t.Fatalf("writers %d and %d both succeeded", winner, i)
		}
		if err == nil {
			winner = i
			continue
		}
		wantError(t, err, store.ErrConflict)
	}
	entry := mustGet(t, f)
	if winner < 0 || !bytes.Equal(entry.Value, []byte{byte(winner)}) {
		t.Fatalf("stored value is %v, writer %d succeeded", entry.Value, winner)
	}
}

// testValueSizeLimit guards against a size limit that is off by one.
func testValueSizeLimit(t *testing.T, f Fixture) {
	_, err := f.Store.CompareAndSwap(t.Context(), "key", 0, make([]byte, store.MaxValueBytes+1))
	wantError(t, err, store.ErrTooLarge)
	mustWrite(t, f, 0, string(make([]byte, store.MaxValueBytes)))
	if entry := mustGet(t, f); len(entry.Value) != store.MaxValueBytes {
		t.Fatalf("Get returned %d bytes, want MaxValueBytes", len(entry.Value))
	}
}

// testValuesAreCopies guards against a stored value that shares memory with a slice of the caller, who could change it.
func testValuesAreCopies(t *testing.T, f Fixture) {
	value := []byte("abc")
	written, err := f.Store.CompareAndSwap(t.Context(), "key", 0, value)
	wantError(t, err, nil)
	value[0], written.Value[1] = 'x', 'x'
	mustGet(t, f).Value[2] = 'x'
	if entry := mustGet(t, f); string(entry.Value) != "abc" {
		t.Fatalf("stored value changed to %q, want \"abc\"", entry.Value)
	}
}

// testingT is the part of testing.T and rapid.T that wantError needs.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

func wantError(t testingT, got, want error) {
	t.Helper()
	if !errors.Is(got, want) || (got == nil) != (want == nil) {
		t.Fatalf("got error %v, want %v", got, want)
	}
}

func mustGet(t *testing.T, f Fixture) store.Entry {
	t.Helper()
	entry, err := f.Store.Get(t.Context(), "key")
	wantError(t, err, nil)
	return entry
}

func mustWrite(t *testing.T, f Fixture, version uint64, value string) store.Entry {
	t.Helper()
	entry, err := f.Store.CompareAndSwap(t.Context(), "key", version, []byte(value))
	wantError(t, err, nil)
	return entry
}
