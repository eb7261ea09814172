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

// Fixes the seed of rapid so that runs are reproducible. A seed on the command line takes precedence.
var _ = flag.Set("rapid.seed", "1")

// maxFaults is the number of simultaneous faults under which the invariants hold.
const maxFaults = 2

// recoveryTime bounds the time from the end of the last fault until all gateways agree: the start of a gateway, a
// regular read of the store, two writes to it, and the bound of 7 s for propagation.
const recoveryTime = confsync.StartTimeout + confsync.StoreReadInterval + 2*confsync.StoreRetryInterval + 7*time.Second

// scenario is one random history: a network, its faults, and the revisions that were in force.
type scenario struct {
	t       *rapid.T
	memory  *store.MemoryStore
	network *confsim.Network
	// revisionsInForce is the greatest revision that each host has put in force, across restarts.
	revisionsInForce map[string]uint64
	// idsInForce contains the IDs of the documents that any gateway has put in force, by revision.
	idsInForce map[uint64]map[string]bool
	accepted   []confsync.Document
	restored   bool
	// leadingHost is the first host that put the greatest revision in force.
	leadingHost *confsim.Host
	// faults maps the names of active faults to the functions that end them.
	faults map[string]func()
}

func newScenario(t *rapid.T) *scenario {
	s := &scenario{
		t: t, memory: store.NewMemoryStore(storetest.NewClock()),
		revisionsInForce: map[string]uint64{}, idsInForce: map[uint64]map[string]bool{}, faults: map[string]func(){},
	}
	first := confsim.NewDocument(1, "first")
	if _, err := s.memory.CompareAndSwap(t.Context(), confsim.Key, 0, first.Bytes); err != nil {
		t.Fatal(err)
	}
	s.accepted = append(s.accepted, first)
	s.network = confsim.New(confsim.Options{
		Seed:    rapid.Uint64Range(0, 1<<20).Draw(t, "seed"),
		Regions: 2, ZonesPerRegion: 1, CellsPerZone: 2, HostsPerCell: 3,
		Tick: 50 * time.Millisecond, Store: s.memory, OnInForce: s.onInForce,
		MessageLoss: float64(rapid.IntRange(0, 1).Draw(t, "lost")) / 100,
		WatchLag:    time.Duration(rapid.IntRange(0, 2).Draw(t, "watch lag")) * time.Second,
	})
	return s
}

func (s *scenario) onInForce(host *confsim.Host) {
	v := host.InForce()
	if v.Revision < s.revisionsInForce[host.Name] {
		s.t.Fatalf("%v: %s reverted from revision %d to %d", s.network.Now(), host.Name, s.revisionsInForce[host.Name], v.Revision)
	}
	s.revisionsInForce[host.Name] = v.Revision
	if s.leadingHost == nil || v.Revision > s.revisionsInForce[s.leadingHost.Name] {
		s.leadingHost = host
	}
	if s.idsInForce[v.Revision] == nil {
		s.idsInForce[v.Revision] = map[string]bool{}
	}
	s.idsInForce[v.Revision][v.ID] = true
	if len(s.idsInForce[v.Revision]) > 1 && !s.restored {
		s.t.Fatalf("revision %d is in force with several IDs: %v", v.Revision, s.idsInForce[v.Revision])
	}
}

// pickHost draws a host. It draws the leading host often, because its loss is the most likely to lose a revision.
func (s *scenario) pickHost(label string) *confsim.Host {
	if s.leadingHost != nil && rapid.Bool().Draw(s.t, label+" leading") {
		return s.leadingHost
	}
	return rapid.SampledFrom(s.network.Hosts).Draw(s.t, label)
}

// startAccepts starts one or two concurrent accept operations.
func (s *scenario) startAccepts() {
	for range rapid.IntRange(1, 2).Draw(s.t, "operators") {
		if host := s.pickHost("gateway"); host.Alive {
			s.network.Accept(host, func(document confsync.Document, outcome confsync.AcceptOutcome) {
				if outcome == confsync.AcceptDone {
					s.accepted = append(s.accepted, document)
				}
			})
		}
	}
}

// startFault starts a random fault, unless it is already active or maxFaults faults are.
func (s *scenario) startFault() {
	host := s.pickHost("fault of")
	kind := rapid.SampledFrom([]string{"crash", "isolate", "zone", "down", "stale", "restore", "lose"}).Draw(s.t, "fault")
	name := kind
	if kind == "crash" || kind == "isolate" {
		name += host.Name
	}
	if _, ok := s.faults[name]; ok || len(s.faults) >= maxFaults {
		return
	}
	n := s.network
	switch kind {
	case "crash":
		n.Crash(host)
		s.faults[name] = func() { n.Restart(host) }
	case "isolate":
		n.SetPartitionGroup(host, 1)
		s.faults[name] = func() { n.SetPartitionGroup(host, 0) }
	case "zone":
		s.setGroup(n.ZoneHosts(host), 2)
		s.faults[name] = func() { s.setGroup(n.ZoneHosts(host), 0) }
	case "down":
		n.SetStoreDown(true)
		s.faults[name] = func() { n.SetStoreDown(false) }
	case "stale":
		s.memory.SetStaleReads(rapid.IntRange(1, 3).Draw(s.t, "behind"))
		s.faults[name] = func() { s.memory.SetStaleReads(0) }
	case "restore":
		n.Restore(rapid.IntRange(1, 3).Draw(s.t, "back"))
		s.restored = true
		s.faults[name] = func() {}
	case "lose":
		s.memory.DropResponses(1)
	}
}

// faultsAfterAccept accepts a document and starts faults as soon as the first gateway has put it in force.
func (s *scenario) faultsAfterAccept() {
	before := s.leadingHost
	s.startAccepts()
	for range 200 {
		if s.leadingHost != before {
			break
		}
		s.network.Run(time.Millisecond)
	}
	for range maxFaults {
		s.startFault()
		s.network.Run(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 50}).Draw(s.t, "gap")) * time.Millisecond)
	}
}

func (s *scenario) setGroup(hosts []*confsim.Host, group int) {
	for _, host := range hosts {
		s.network.SetPartitionGroup(host, group)
	}
}

// endFaults ends a random subset of the faults at the same time. They count against maxFaults until the affected
// gateways have recovered.
func (s *scenario) endFaults() {
	var ended []string
	for _, name := range slices.Sorted(maps.Keys(s.faults)) {
		if rapid.Bool().Draw(s.t, "heal "+name) {
			s.faults[name]()
			ended = append(ended, name)
		}
	}
	s.network.Run(recoveryTime)
	for _, name := range ended {
		delete(s.faults, name)
	}
}

// checkConverged checks that all gateways agree with the store and that no accepted document was lost.
func (s *scenario) checkConverged() {
	stored := s.network.Stored()
	var revision uint64
	var id string
	_, _ = fmt.Sscanf(string(stored.Value), "%d %s\n", &revision, &id)
	for _, host := range s.network.Hosts {
		if got := host.InForce(); got.Revision != revision || got.ID != id {
			s.t.Fatalf("%s has %v in force, but the store holds %d %s", host.Name, got, revision, id)
		}
	}
	for _, document := range s.accepted {
		if document.Revision > revision || document.Revision == revision && document.ID != id {
			s.t.Fatalf("accepted document %v was lost; %d %s is in force", document.Version, revision, id)
		}
	}
}

// Guards against gateways that revert to a smaller revision or do not catch up, against two documents in force with the
// same revision, and against the loss of an accepted document. The histories contain up to two simultaneous faults,
// concurrent operators, lost messages and lost responses.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScenario(t)
		s.network.Run(recoveryTime)
		s.checkConverged()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"accept", "burst", "fault", "heal", "heal"}).Draw(t, "step") {
			case "accept":
				s.startAccepts()
			case "burst":
				s.faultsAfterAccept()
			case "fault":
				s.startFault()
			case "heal":
				s.endFaults()
			}
			s.network.Run(time.Duration(rapid.SampledFrom([]int{0, 5, 20, 100, 700, 3000}).Draw(t, "wait")) * time.Millisecond)
		}
		for _, name := range slices.Sorted(maps.Keys(s.faults)) {
			s.faults[name]()
		}
		s.memory.DropResponses(0)
		s.network.Run(recoveryTime)
		s.checkConverged()
	})
}
