package confsync_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/confsync/confsim"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/store/storetest"
)

// Fixes the seed of rapid, so that the verdict is the same each time. The flag on the command line wins.
var _ = flag.Set("rapid.seed", "1")

// maxFaults is the number of simultaneous faults under which the invariants hold.
const maxFaults = 2

// healTime is the time from the end of the last fault until all gateways agree: start of a fresh gateway, regular
// read of the store, two writes to it, and the bound of 7 s for the relay.
const healTime = confsync.StartWait + confsync.ReadInterval + 2*confsync.RetryInterval + 7*time.Second

// world is one history: a network, its faults, and what was shown.
type world struct {
	t       *rapid.T
	memory  *store.MemoryStore
	network *confsim.Network
	// shown is the greatest revision that each host has put in force, over all of its restarts.
	shown map[string]uint64
	// ids holds the accepts that any gateway has put in force, by revision.
	ids      map[uint64]map[string]bool
	accepted []confsync.Document
	restored bool
	// front is the host that put the greatest revision in force first.
	front *confsim.Host
	// faults end the faults in progress.
	faults map[string]func()
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, memory: store.NewMemoryStore(storetest.NewClock()),
		shown: map[string]uint64{}, ids: map[uint64]map[string]bool{}, faults: map[string]func(){},
	}
	first := confsim.NewDocument(1, "first")
	if _, err := w.memory.CompareAndSwap(t.Context(), confsim.Key, 0, first.Bytes); err != nil {
		t.Fatal(err)
	}
	w.accepted = append(w.accepted, first)
	w.network = confsim.New(confsim.Options{
		Seed:    rapid.Uint64Range(0, 1<<20).Draw(t, "seed"),
		Regions: 2, ZonesPerRegion: 1, CellsPerZone: 2, HostsPerCell: 3,
		Tick: 50 * time.Millisecond, Store: w.memory, OnShow: w.onShow,
		Lost:     float64(rapid.IntRange(0, 1).Draw(t, "lost")) / 100,
		WatchLag: time.Duration(rapid.IntRange(0, 2).Draw(t, "watch lag")) * time.Second,
	})
	return w
}

func (w *world) onShow(host *confsim.Host) {
	v := host.InForce()
	if v.Revision < w.shown[host.Name] {
		w.t.Fatalf("%v: %s went from revision %d to %d", w.network.Now(), host.Name, w.shown[host.Name], v.Revision)
	}
	w.shown[host.Name] = v.Revision
	if w.front == nil || v.Revision > w.shown[w.front.Name] {
		w.front = host
	}
	if w.ids[v.Revision] == nil {
		w.ids[v.Revision] = map[string]bool{}
	}
	w.ids[v.Revision][v.ID] = true
	if len(w.ids[v.Revision]) > 1 && !w.restored {
		w.t.Fatalf("revision %d has the ids %v in force", v.Revision, w.ids[v.Revision])
	}
}

// host draws a host. The one that has a new revision first is drawn often, because its loss can lose the most.
func (w *world) host(label string) *confsim.Host {
	if w.front != nil && rapid.Bool().Draw(w.t, label+" front") {
		return w.front
	}
	return rapid.SampledFrom(w.network.Hosts).Draw(w.t, label)
}

// accept lets one or two operators race.
func (w *world) accept() {
	for range rapid.IntRange(1, 2).Draw(w.t, "operators") {
		if host := w.host("gateway"); host.Alive {
			w.network.Accept(host, func(document confsync.Document, outcome confsync.AcceptOutcome) {
				if outcome == confsync.AcceptDone {
					w.accepted = append(w.accepted, document)
				}
			})
		}
	}
}

// fault begins a fault, unless it or two others are in progress.
func (w *world) fault() {
	host := w.host("fault of")
	kind := rapid.SampledFrom([]string{"crash", "isolate", "zone", "down", "stale", "restore", "lose"}).Draw(w.t, "fault")
	name := kind
	if kind == "crash" || kind == "isolate" {
		name += host.Name
	}
	if _, ok := w.faults[name]; ok || len(w.faults) >= maxFaults {
		return
	}
	n := w.network
	switch kind {
	case "crash":
		n.Crash(host)
		w.faults[name] = func() { n.Restart(host) }
	case "isolate":
		n.SetGroup(host, 1)
		w.faults[name] = func() { n.SetGroup(host, 0) }
	case "zone":
		w.partition(n.ZoneHosts(host), 2)
		w.faults[name] = func() { w.partition(n.ZoneHosts(host), 0) }
	case "down":
		n.SetStoreDown(true)
		w.faults[name] = func() { n.SetStoreDown(false) }
	case "stale":
		w.memory.SetStaleReads(rapid.IntRange(1, 3).Draw(w.t, "behind"))
		w.faults[name] = func() { w.memory.SetStaleReads(0) }
	case "restore":
		n.Restore(rapid.IntRange(1, 3).Draw(w.t, "back"))
		w.restored = true
		w.faults[name] = func() {}
	case "lose":
		w.memory.DropResponses(1)
	}
}

// burst begins faults as soon as a new revision is in force on one gateway.
func (w *world) burst() {
	before := w.front
	w.accept()
	for range 200 {
		if w.front != before {
			break
		}
		w.network.Run(time.Millisecond)
	}
	for range maxFaults {
		w.fault()
		w.network.Run(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 50}).Draw(w.t, "gap")) * time.Millisecond)
	}
}

func (w *world) partition(hosts []*confsim.Host, group int) {
	for _, host := range hosts {
		w.network.SetGroup(host, group)
	}
}

// heal ends some faults at the same moment. They count as faults until the gateways that they stopped have started
// again.
func (w *world) heal() {
	var ended []string
	for _, name := range slices.Sorted(maps.Keys(w.faults)) {
		if rapid.Bool().Draw(w.t, "heal "+name) {
			w.faults[name]()
			ended = append(ended, name)
		}
	}
	w.network.Run(healTime)
	for _, name := range ended {
		delete(w.faults, name)
	}
}

// check fails unless all gateways agree with the store and no accepted document was lost.
func (w *world) check() {
	stored := w.network.Stored()
	var revision uint64
	var id string
	_, _ = fmt.Sscanf(string(stored.Value), "%d %s\n", &revision, &id)
	for _, host := range w.network.Hosts {
		if got := host.InForce(); got.Revision != revision || got.ID != id {
			w.t.Fatalf("%s has %v in force, the store %d %s", host.Name, got, revision, id)
		}
	}
	for _, document := range w.accepted {
		if document.Revision > revision || document.Revision == revision && document.ID != id {
			w.t.Fatalf("accepted %v is lost; %d %s is in force", document.Version, revision, id)
		}
	}
}

// Guards against a gateway that goes back to a smaller revision or stays behind, against two accepts in force with
// one revision, and against the loss of an accepted one, under up to two simultaneous faults, racing operators, lost
// messages and lost answers.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.network.Run(healTime)
		w.check()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"accept", "burst", "fault", "heal", "heal"}).Draw(t, "step") {
			case "accept":
				w.accept()
			case "burst":
				w.burst()
			case "fault":
				w.fault()
			case "heal":
				w.heal()
			}
			w.network.Run(time.Duration(rapid.SampledFrom([]int{0, 5, 20, 100, 700, 3000}).Draw(t, "wait")) * time.Millisecond)
		}
		for _, name := range slices.Sorted(maps.Keys(w.faults)) {
			w.faults[name]()
		}
		w.memory.DropResponses(0)
		w.network.Run(healTime)
		w.check()
	})
}
