package store_test

import (
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/store/storetest"
)

func newMemoryFixture(*testing.T) storetest.Fixture {
	clock := storetest.NewClock()
	memory := store.NewMemoryStore(clock)
	return storetest.Fixture{Store: memory, Backing: memory, Clock: clock}
}

func newHTTPFixture(t *testing.T) storetest.Fixture {
	f := newMemoryFixture(t)
	server := httptest.NewServer(store.NewHandler(f.Backing))
	t.Cleanup(server.Close)
	f.Store = store.NewClient(server.URL, server.Client())
	return f
}

func newLinkFixture(t *testing.T) storetest.Fixture {
	f := newMemoryFixture(t)
	f.Store = store.NewLink(f.Backing)
	return f
}

// Guards against implementations whose results differ in what callers rely on.
func TestMemoryContract(t *testing.T) { storetest.Run(t, newMemoryFixture) }
func TestHTTPContract(t *testing.T)   { storetest.Run(t, newHTTPFixture) }
func TestLinkContract(t *testing.T)   { storetest.Run(t, newLinkFixture) }

// Guards against a link that is down but still passes a blocked watch or a new call to the store.
func TestLinkDown(t *testing.T) {
	f := newMemoryFixture(t)
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
			t.Fatalf("call over a link that is down returned %v, want ErrUnavailable", err)
		}
	}
	link.SetDown(false)
	if _, err := link.Get(t.Context(), "key"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("Get after the link came up returned %v, want ErrNotFound", err)
	}
}
