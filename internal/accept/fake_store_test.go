package accept

import (
	"context"

	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// fakeStore is an in-memory store with one key. injectFault is called once for each call and returns the fault to
// inject, or "".
type fakeStore struct {
	store.Store
	entries     []store.Entry // all versions, the first one empty
	delayed     []store.Entry // writes that failed with ErrUnavailable and may still take effect
	injectFault func(call string) string
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: []store.Entry{{}}, injectFault: func(string) string { return "" }}
}

func (f *fakeStore) latest() store.Entry { return f.entries[len(f.entries)-1] }

func (f *fakeStore) Get(context.Context, string) (store.Entry, error) {
	entry := f.latest()
	switch f.injectFault("get") {
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
	switch f.injectFault("cas") {
	case "down":
		return store.Entry{}, store.ErrUnavailable
	case "lost":
		_ = f.apply(write)
		return store.Entry{}, store.ErrUnavailable
	case "late":
		f.delayed = append(f.delayed, write)
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

func (f *fakeStore) deliverDelayed() {
	for _, write := range f.delayed {
		_ = f.apply(write)
	}
	f.delayed = nil
}

// revisions decodes all versions of the entry, oldest first.
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
