package home

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// TestHotKeyIsReleasedAfterItsRequests guards against a key that leaves its partition while requests that were sent
// under the partition's grant still execute: the next owner would run the key at the same time.
func TestHotKeyIsReleasedAfterItsRequests(t *testing.T) {
	onBench(t, fenced, standin.Options{ServiceTime: 300 * time.Millisecond}, func(b *bench) {
		running := b.start(b.Context(), b.request(func(r *backend.Request) { r.Key = "hot" }))
		time.Sleep(100 * time.Millisecond)
		partition := OwnedScope{Token: fence.Token{Generation: 1, Seq: 1}}
		leaving := OwnedScope{Scope: backend.Scope{HotKey: "hot"}, Token: fence.Token{Generation: 1, Seq: 1}, Releasing: true}
		b.dispatcher.Apply(Assignment{Owned: []OwnedScope{partition, leaving}})
		time.Sleep(150 * time.Millisecond)
		if got := b.dispatcher.Report().Released; len(got) != 0 {
			b.Errorf("released while a request for the key executes: %v", got)
		}
		b.want("running", <-running, "200")
		time.Sleep(250 * time.Millisecond)
		if got := b.dispatcher.Report().Released; len(got) != 1 {
			b.Errorf("not released after the request: %v", got)
		}
	})
}

// TestPartitionIsReleasedAfterTheRequestsOfAReturnedKey guards against a partition that leaves while requests of a key
// that had a scope of its own still execute.
func TestPartitionIsReleasedAfterTheRequestsOfAReturnedKey(t *testing.T) {
	onBench(t, fenced, standin.Options{ServiceTime: 300 * time.Millisecond}, func(b *bench) {
		partition := OwnedScope{Token: fence.Token{Generation: 1, Seq: 1}}
		hot := OwnedScope{Scope: backend.Scope{HotKey: "hot"}, Token: fence.Token{Generation: 1, Seq: 2}}
		b.dispatcher.Apply(Assignment{Owned: []OwnedScope{partition, hot}})
		time.Sleep(200 * time.Millisecond)
		running := b.start(b.Context(), b.request(func(r *backend.Request) { r.Key = "hot" }))
		time.Sleep(100 * time.Millisecond)
		partition.Releasing = true
		b.dispatcher.Apply(Assignment{Owned: []OwnedScope{partition}})
		time.Sleep(150 * time.Millisecond)
		if got := b.dispatcher.Report().Released; len(got) != 0 {
			b.Errorf("released while a request for the key executes: %v", got)
		}
		b.want("running", <-running, "200")
		time.Sleep(250 * time.Millisecond)
		if got := b.dispatcher.Report().Released; len(got) != 1 {
			b.Errorf("not released after the request: %v", got)
		}
	})
}
