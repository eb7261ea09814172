package accept

import (
	"context"

	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// fakeStore is a store with one key and injected faults. fault is asked once for each call.
type fakeStore struct {
	store.Store
	entries []store.Entry // all versions, the first one empty
	late    []store.Entry // writes that were answered with ErrUnavailable and may still take effect
	fault   func(call string) string
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: []store.Entry{{}}, fault: func(string) string { return "" }}
}

func (f *fakeStore) latest() store.Entry { return f.entries[len(f.entries)-1] }

func (f *fakeStore) Get(context.Context, string) (store.Entry, error) {
	entry := f.latest()
	switch f.fault("get") {
	case "down":
		return store.Entry{}, store.ErrUnavailable
	case "stale":
		entry = f.entries[max(0, len(f.entries)-2)]
	}
	if entry.Version == 0 {
		return entry, store.ErrNotFound
	}
	return entry, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, version uint64, value []byte) (store.Entry, error) {
	write := store.Entry{Key: key, Value: value, Version: version + 1}
	switch f.fault("cas") {
	case "down":
		return store.Entry{}, store.ErrUnavailable
	case "lost":
		_ = f.apply(write)
		return store.Entry{}, store.ErrUnavailable
	case "late":
		f.late = append(f.late, write)
		return store.Entry{}, store.ErrUnavailable
	}
	return write, f.apply(write)
}

func (f *fakeStore) apply(write store.Entry) error {
	if f.latest().Version+1 != write.Version {
		return store.ErrConflict
	}
	f.entries = append(f.entries, write)
	return nil
}

func (f *fakeStore) deliverLate() {
	for _, write := range f.late {
		_ = f.apply(write)
	}
	f.late = nil
}

// revisions decodes everything that ever was in the store.
func (f *fakeStore) revisions(t *rapid.T) []*config.Config {
	var all []*config.Config
	for _, entry := range f.entries[1:] {
		c, err := config.Decode(entry.Value)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}
