package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/mirror"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Guards against a panic of the elected gateway when a backend server restarts while an ownership table is being loaded
// or cannot be decoded.
func TestServerRestartsWhileTableLoads(t *testing.T) {
	c := New(Options{Entries: testEntryDecoder{}, Clock: func() time.Duration { return time.Second }, Log: logging.Discard().Component("control")})
	c.assigners["s"] = &assignment{}
	for started := range int64(2) {
		value, err := json.Marshal(directory.Server{ID: "a", StartedAtMs: started, Service: "s", Addr: "a"})
		if err != nil {
			t.Fatal(err)
		}
		c.applyServerEvent("a", kv.Event{Item: kv.Item{Key: "servers/a", Value: value}})
	}
	if server, _ := c.directory.Lookup("a"); server.StartedAtMs != 1 {
		t.Fatalf("incarnation %d in the directory, want 1", server.StartedAtMs)
	}
}

// Guards against requests to a server that has drained for longer than this gateway knows: after a partition, or because
// the elected gateway learned of it late.
func TestDrainThatIsLearnedLate(t *testing.T) {
	now := time.Duration(0)
	event := func(revision kv.Revision) kv.Event {
		value, err := json.Marshal(directory.Server{ID: "a", Service: "s", Addr: "a", Draining: true})
		if err != nil {
			t.Fatal(err)
		}
		return kv.Event{Item: kv.Item{Key: "servers/a", Value: value, Revision: revision}}
	}
	newController := func() *Controller {
		now = time.Second
		c := New(Options{Entries: testEntryDecoder{}, Clock: func() time.Duration { return now }, Log: logging.Discard().Component("control")})
		c.applyStoreUpdate(mirror.Update{AsOf: at(1)})
		return c
	}
	check := func(c *Controller, want time.Duration) {
		t.Helper()
		if server, _ := c.directory.Lookup("a"); !server.Draining || server.DrainingSince != want {
			t.Errorf("draining: %v, since %v, want since %v", server.Draining, server.DrainingSince, want)
		}
	}
	c := newController()
	now = 3 * time.Second
	c.applyStoreUpdate(mirror.Update{AsOf: at(2), Events: []kv.Event{event(at(2))}})
	check(c, time.Second)

	c = newController()
	c.source.complete = true
	now = 3 * time.Second
	c.handleRelayMessage(0, &wire.RelayDown{AsOf: 2, LagMs: 500, Items: []*wire.RelayItem{relay.EncodeEvent(event(at(2)))}})
	check(c, 2500*time.Millisecond)
}

// Guards against a late write of an earlier incarnation of a backend server that ends the one that runs: its keys would be
// granted to others while it holds them.
func TestLateEntryOfEarlierIncarnation(t *testing.T) {
	entry := func(startedAtMs int64, addr string) kv.Event {
		value, err := json.Marshal(directory.Server{ID: "a", StartedAtMs: startedAtMs, Sequence: 1, Service: "s", Addr: addr})
		if err != nil {
			t.Fatal(err)
		}
		return kv.Event{Item: kv.Item{Key: "servers/a", Value: value}}
	}
	late := entry(10, "1")
	arrive := map[string]func(c *Controller){
		"event": func(c *Controller) { c.applyServerEvent("a", late) },
		"listing": func(c *Controller) {
			c.applyListing(mirror.Update{Full: true, AsOf: at(9), Items: []kv.Item{late.Item}})
		},
	}
	for way, apply := range arrive {
		t.Run(way, func(t *testing.T) {
			c := New(Options{Entries: testEntryDecoder{}, Clock: func() time.Duration { return time.Minute }, Log: logging.Discard().Component("control")})
			assigner := ownership.NewAssigner(ownership.Settings{Keys: testKeys}, 0)
			c.assigners["s"] = &assignment{assigner: assigner}
			c.applyServerEvent("a", late)
			c.applyServerEvent("a", entry(20, "2"))
			apply(c)
			if server, _ := c.directory.Lookup("a"); server.StartedAtMs != 20 {
				t.Errorf("incarnation %d in the directory, want 20", server.StartedAtMs)
			}
			if assigner.HasTerminated(ownership.Holder{ID: "a", StartedAtMs: 20, Addr: "2"}) {
				t.Error("the incarnation that runs counts as terminated")
			}
		})
	}
}
