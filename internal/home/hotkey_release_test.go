package home

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestHotKeyIsReleasedAfterItsRequests guards against the release of a hot key while requests that were sent under the
// grant of its partition are still in execution: the next owner would execute requests for the key at the same time.
func TestHotKeyIsReleasedAfterItsRequests(t *testing.T) {
	withHarness(t, fencedConfig, standin.Options{RunTime: 300 * time.Millisecond}, func(h *harness) {
		running := h.startRequest(h.Context(), h.request(func(r *backend.Request) { r.Key = "hot" }))
		time.Sleep(100 * time.Millisecond)
		partition := OwnedScope{Token: fence.Token{Generation: 1, Seq: 1}}
		hot := OwnedScope{Scope: backend.Scope{HotKey: "hot"}, Token: fence.Token{Generation: 1, Seq: 1}, Releasing: true}
		h.dispatcher.Apply(Assignment{Owned: []OwnedScope{partition, hot}})
		time.Sleep(150 * time.Millisecond)
		if got := h.dispatcher.Report().Released; len(got) != 0 {
			h.Errorf("released while a request for the key executes: %v", got)
		}
		h.checkResult("running", <-running, "200")
		time.Sleep(250 * time.Millisecond)
		if got := h.dispatcher.Report().Released; len(got) != 1 {
			h.Errorf("not released after the request: %v", got)
		}
	})
}

// TestPartitionIsReleasedAfterRequestsOfMergedKey guards against the release of a partition while requests for a former
// hot key, which had its own scope, are still in execution.
func TestPartitionIsReleasedAfterRequestsOfMergedKey(t *testing.T) {
	withHarness(t, fencedConfig, standin.Options{RunTime: 300 * time.Millisecond}, func(h *harness) {
		partition := OwnedScope{Token: fence.Token{Generation: 1, Seq: 1}}
		hot := OwnedScope{Scope: backend.Scope{HotKey: "hot"}, Token: fence.Token{Generation: 1, Seq: 2}}
		h.dispatcher.Apply(Assignment{Owned: []OwnedScope{partition, hot}})
		time.Sleep(200 * time.Millisecond)
		running := h.startRequest(h.Context(), h.request(func(r *backend.Request) { r.Key = "hot" }))
		time.Sleep(100 * time.Millisecond)
		partition.Releasing = true
		h.dispatcher.Apply(Assignment{Owned: []OwnedScope{partition}})
		time.Sleep(150 * time.Millisecond)
		if got := h.dispatcher.Report().Released; len(got) != 0 {
			h.Errorf("released while a request for the key executes: %v", got)
		}
		h.checkResult("running", <-running, "200")
		time.Sleep(250 * time.Millisecond)
		if got := h.dispatcher.Report().Released; len(got) != 1 {
			h.Errorf("not released after the request: %v", got)
		}
	})
}
