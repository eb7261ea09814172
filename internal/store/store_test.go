package store_test

import (
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/store/storetest"
)

func openMemory(*testing.T) storetest.Fixture {
	clock := storetest.NewClock()
	memory := store.NewMemoryStore(clock)
	return storetest.Fixture{Store: memory, Backing: memory, Clock: clock}
}

func openHTTP(t *testing.T) storetest.Fixture {
	f := openMemory(t)
	server := httptest.NewServer(store.NewHandler(f.Backing))
	t.Cleanup(server.Close)
	f.Store = store.NewClient(server.URL, server.Client())
	return f
}

func openLink(t *testing.T) storetest.Fixture {
	f := openMemory(t)
	f.Store = store.NewLink(f.Backing)
	return f
}

// Guards against implementations that differ in any result that callers rely on.
func TestMemoryContract(t *testing.T) { storetest.Run(t, openMemory) }
func TestHTTPContract(t *testing.T)   { storetest.Run(t, openHTTP) }
func TestLinkContract(t *testing.T)   { storetest.Run(t, openLink) }

// Guards against a cut link that lets a waiting watch or a later call through.
func TestCutLink(t *testing.T) {
	f := openMemory(t)
	link := store.NewLink(f.Backing)
	result := make(chan error, 1)
	go func() {
		_, err := link.Watch(t.Context(), "key", 0)
		result <- err
	}()
	link.SetDown(true)
	link.SetDown(true)
	_, err := link.Get(t.Context(), "key")
	for _, err := range []error{<-result, err} {
		if !errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("cut link returned %v", err)
		}
	}
	link.SetDown(false)
	if _, err := link.Get(t.Context(), "key"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("healed link returned %v", err)
	}
}
