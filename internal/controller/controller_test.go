package controller

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/observe"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/quota"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/routing"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

const testKeys = 64

// at returns a revision of the first era.
func at(number int64) kv.Revision { return kv.Revision{Number: number} }

// testEntryDecoder decodes entries that are the types of this module encoded as JSON.
type testEntryDecoder struct{}

func (testEntryDecoder) Classify(key string) (EntryKind, string) {
	if key == "config" {
		return EntryConfig, ""
	}
	if id, ok := strings.CutPrefix(key, "servers/"); ok {
		return EntryServer, id
	}
	if zone, ok := strings.CutPrefix(key, "drains/"); ok {
		return EntryZoneDrain, zone
	}
	return EntryOther, ""
}

func (testEntryDecoder) DecodeConfig(value []byte) (*routing.Config, error) {
	config := &routing.Config{}
	return config, json.Unmarshal(value, config)
}

func (testEntryDecoder) DecodeServer(_ string, value []byte) (directory.Server, error) {
	var server directory.Server
	return server, json.Unmarshal(value, &server)
}

// testOrders records which backend server holds each key, and fails the test if a key is granted to two of them.
type testOrders struct {
	t *testing.T

	// mu protects the fields below.
	mu     sync.Mutex
	owners [testKeys]string
	// until are the times at which the grants expire.
	until [testKeys]time.Time
}

func (o *testOrders) Grant(_ context.Context, grant ownership.Grant) (ownership.Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := grant.Keys.First; key <= grant.Keys.Last; key++ {
		if owner := o.owners[key]; owner != "" && owner != grant.Server.ID && time.Now().Before(o.until[key]) {
			o.t.Errorf("key %d granted to %s while %s holds it", key, grant.Server.ID, owner)
		}
		o.owners[key], o.until[key] = grant.Server.ID, time.Now().Add(grant.Duration)
	}
	return ownership.Answer{}, nil
}

func (o *testOrders) Release(_ context.Context, release ownership.Release) (ownership.Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := release.Keys.First; key <= release.Keys.Last; key++ {
		if o.owners[key] == release.Server.ID {
			o.owners[key] = ""
		}
	}
	return ownership.Answer{Handover: "state"}, nil
}

// testDataPlane stores the latest snapshot.
type testDataPlane struct {
	t    *testing.T
	view atomic.Pointer[snapshot.Snapshot]
}

// Publish fails the test if a snapshot lacks an ownership table that the previous one had.
func (d *testDataPlane) Publish(view *snapshot.Snapshot) {
	if last := d.view.Load().Services["s"]; last != nil && last.Owners != nil && view.Services["s"].Owners == nil {
		d.t.Error("new snapshot lacks the ownership table of the previous one")
	}
	d.view.Store(view)
}

func (d *testDataPlane) Loads() map[uint32]int                         { return map[uint32]int{} }
func (d *testDataPlane) RunTimes() map[uint32]relay.RunTime            { return nil }
func (d *testDataPlane) SetLoads(map[uint32]int)                       {}
func (d *testDataPlane) SetRunTimes(runTimes map[uint32]relay.RunTime) {}
func (d *testDataPlane) LeavingServers() []directory.Incarnation       { return nil }
func (d *testDataPlane) QuotaReports() []quota.Report                  { return nil }
func (d *testDataPlane) SetQuotas([]quota.Grant)                       {}

// gateway is one controller under test.
type gateway struct {
	*Controller
	dataPlane *testDataPlane
	stop      context.CancelFunc
}

func startGateway(t *testing.T, host string, store kv.Store, orders ownership.OrderSender) *gateway {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	dataPlane := &testDataPlane{t: t}
	dataPlane.view.Store(&snapshot.Snapshot{})
	c := New(Options{
		Host:      host,
		Addr:      listener.Addr().String(),
		Store:     store,
		Entries:   testEntryDecoder{},
		Orders:    orders,
		Dialer:    &net.Dialer{},
		Clock:     func() time.Duration { return time.Since(started) },
		DataPlane: dataPlane,
		Election: election.Settings{
			TTL: 600 * time.Millisecond, RenewInterval: 100 * time.Millisecond, OutageGrace: time.Second, CampaignDelay: 10 * time.Millisecond,
			ReclaimGrace: 200 * time.Millisecond,
		},
		Ownership: ownership.Settings{
			Host: host, Keys: testKeys, GrantDuration: 800 * time.Millisecond, RenewInterval: 200 * time.Millisecond,
			RetryInterval: 50 * time.Millisecond, OrderTimeout: 200 * time.Millisecond, PredecessorGrace: time.Second,
		},
		Planner: ownership.PlannerSettings{Keys: testKeys, Tolerance: 1.25, IdleUtilization: 0.4, MaxMoves: 8, MinRate: 5},
		Log:     logging.Discard().Component("control"),
		Metrics: observe.New(),
	})
	ctx, stop := context.WithCancel(t.Context())
	go c.Run(ctx, listener)
	return &gateway{Controller: c, dataPlane: dataPlane, stop: stop}
}

// waitFor waits until a condition holds. If it never does, the timeout of the test binary ends the wait.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

func put(t *testing.T, store kv.Store, key string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: key, Value: encoded}}}); err != nil {
		t.Fatal(err)
	}
}

// owners returns the backend servers that own keys according to the gateway's snapshot, or nil while some keys move or
// have no owner.
func (g *gateway) owners() map[string]bool {
	service := g.dataPlane.view.Load().Services["s"]
	if service == nil || service.Owners == nil {
		return nil
	}
	owners := make(map[string]bool)
	for _, row := range service.Owners.Rows {
		if row.Owner.IsZero() || row.Moving {
			return nil
		}
		owners[row.Owner.ID] = true
	}
	return owners
}

// Guards against keys that stay without an owner or have two owners when servers join and leave and when the elected
// gateway resigns or stops without resigning, and against gateways that do not receive the new ownership.
func TestOwnershipThroughElections(t *testing.T) {
	store := kv.NewMemoryStore()
	orders := &testOrders{t: t}
	put(t, store, "config", routing.Config{Version: 3, Services: map[string]routing.Service{"s": {Name: "s", Sharded: true}}})
	for _, id := range []string{"a", "b"} {
		put(t, store, "servers/"+id, directory.Server{ID: id, Service: "s", Addr: id, Slots: 2})
	}
	gateways := map[string]*gateway{}
	for _, host := range []string{"g1", "g2", "g3"} {
		gateways[host] = startGateway(t, host, store, orders)
	}
	allKnow := func(owners ...string) func() bool { return allOwn(gateways, owners...) }
	waitFor(allKnow("a", "b"))
	put(t, store, "servers/c", directory.Server{ID: "c", Service: "s", Addr: "c", Slots: 2})
	waitFor(allKnow("a", "b", "c"))
	leader := func() string { return electedOf(t, store) }
	resigning := leader()
	gateways[resigning].Resign(t.Context())
	gateways[resigning].stop()
	delete(gateways, resigning)
	waitFor(func() bool { return leader() != "" && leader() != resigning })
	put(t, store, "servers/b", directory.Server{ID: "b", Service: "s", Addr: "b", Slots: 2, Draining: true})
	waitFor(allKnow("a", "c"))
	lost := leader()
	gateways[lost].stop()
	delete(gateways, lost)
	waitFor(func() bool { return leader() != "" && leader() != lost })
	put(t, store, "servers/d", directory.Server{ID: "d", Service: "s", Addr: "d", Slots: 2})
	waitFor(allKnow("a", "c", "d"))
}

// Guards against a service that stays without owners after an operator has deleted its invalid ownership table.
func TestInvalidTableIsReadAgain(t *testing.T) {
	store := kv.NewMemoryStore()
	put(t, store, "config", routing.Config{Version: 3, Services: map[string]routing.Service{"s": {Name: "s", Sharded: true}}})
	put(t, store, "servers/a", directory.Server{ID: "a", Service: "s", Addr: "a", Slots: 2})
	put(t, store, tableKeyPrefix+"s", "not a table")
	g := startGateway(t, "g1", store, &testOrders{t: t})
	waitFor(func() bool { return g.dataPlane.view.Load().Routes != nil })
	// By then the elected gateway has read the table.
	time.Sleep(300 * time.Millisecond)
	if _, err := store.Commit(t.Context(), kv.Txn{Deletes: []string{tableKeyPrefix + "s"}}); err != nil {
		t.Fatal(err)
	}
	waitFor(func() bool { return g.owners()["a"] })
}

// Guards against keys that are not managed until the lease of an elected gateway has expired, although it has been
// killed and runs again.
func TestElectedGatewayRestarts(t *testing.T) {
	store := kv.NewMemoryStore()
	orders := &testOrders{t: t}
	put(t, store, "config", routing.Config{Version: 3, Services: map[string]routing.Service{"s": {Name: "s", Sharded: true}}})
	put(t, store, "servers/a", directory.Server{ID: "a", Service: "s", Addr: "a", Slots: 2})
	first := startGateway(t, "g1", store, orders)
	waitFor(func() bool { return first.owners()["a"] })
	record, err := store.Get(t.Context(), election.Key)
	if err != nil {
		t.Fatal(err)
	}
	first.stop()
	stopped := time.Now()
	startGateway(t, "g1", store, orders)
	waitFor(func() bool {
		item, err := store.Get(t.Context(), election.Key)
		return err == nil && item.Created != record.Created
	})
	if took := time.Since(stopped); took > first.Election.TTL/2 {
		t.Fatalf("elected again after %v, the lease lasts %v", took, first.Election.TTL)
	}
}

// failingStore fails watches and lease renewals while it is unavailable.
type failingStore struct {
	kv.Store
	unavailable atomic.Bool
}

func (s *failingStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (kv.Changes, error) {
	if s.unavailable.Load() {
		return kv.Changes{}, kv.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, min(wait, 100*time.Millisecond))
}

func (s *failingStore) RenewLease(ctx context.Context, id kv.LeaseID) (kv.Era, error) {
	if s.unavailable.Load() {
		return 0, kv.ErrUnavailable
	}
	return s.Store.RenewLease(ctx, id)
}

func (s *failingStore) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	if s.unavailable.Load() {
		return kv.ErrUnavailable
	}
	return s.Store.RevokeLease(ctx, id)
}

// Guards against gateways that rely on an elected gateway which is partitioned from the store, and against returning to
// an older configuration.
func TestElectedGatewayCutOff(t *testing.T) {
	memory := kv.NewMemoryStore()
	put(t, memory, "config", routing.Config{Version: 3})
	first := &failingStore{Store: memory}
	orders := &testOrders{t: t}
	g1 := startGateway(t, "g1", first, orders)
	waitFor(func() bool { return g1.dataPlane.view.Load().Routes != nil })
	g2 := startGateway(t, "g2", memory, orders)
	waitFor(func() bool { return g2.dataPlane.view.Load().Routes != nil })
	first.unavailable.Store(true)
	put(t, memory, "config", routing.Config{Version: 5})
	version := func(g *gateway) uint64 { return g.dataPlane.view.Load().Routes.Config().Version }
	waitFor(func() bool { return version(g2) == 5 })
	put(t, memory, "config", routing.Config{Version: 4})
	first.unavailable.Store(false)
	waitFor(func() bool { return version(g1) == 5 })
	if version(g2) != 5 {
		t.Fatalf("version %d in force after version 5", version(g2))
	}
}

// Guards against messages of a former elected gateway that are applied after an election. A change of a table that it
// sent made this gateway panic.
func TestMessagesOfFormerElectedGateway(t *testing.T) {
	c := New(Options{
		Host: "g1", Entries: testEntryDecoder{}, Clock: func() time.Duration { return time.Second },
		Dialer: &net.Dialer{}, Log: logging.Discard().Component("control"), DataPlane: &testDataPlane{t: t},
	})
	observeLeader := func(revision kv.Revision, host string) {
		record, err := json.Marshal(election.Leader{Host: host, Addr: "127.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		c.observeLeader(revision, kv.Item{Key: election.Key, Value: record, Revision: revision, Created: revision})
		c.connectToLeader(t.Context(), c.Clock())
	}
	observeLeader(at(1), "g2")
	connectionID := c.source.connectionID
	observeLeader(at(2), "g1")
	stale := []*wire.RelayDown{
		{Full: true, AsOf: 9, Items: []*wire.RelayItem{relay.EncodeEvent(kv.Event{Item: kv.Item{Key: "old", Value: []byte("x"), Revision: at(9)}})}},
		{Tables: []*wire.OwnershipDelta{{Service: "s", Base: 3, Revision: 4}}},
	}
	for _, message := range stale {
		c.handleRelayMessage(connectionID, message)
	}
	if !c.asOf.IsZero() {
		t.Fatalf("contents as of revision %v of a former elected gateway were applied", c.asOf)
	}
}

// Guards against a planner that leaves keys with a server that limits its requests.
func TestLimitReducesCapacity(t *testing.T) {
	now := time.Second
	c := New(Options{Entries: testEntryDecoder{}, Clock: func() time.Duration { return now }, Log: logging.Discard().Component("control")})
	for _, id := range []string{"a", "b"} {
		c.directory.Put(now, now, directory.Server{ID: id, Service: "s", Addr: id, Slots: 2})
	}
	server := relay.ServerHash(directory.Incarnation{ID: "a"})
	c.allocator.Report("g1", quota.Report{Server: server, Statement: quota.Statement{Limited: true, Limit: 4, At: now}}, now)
	candidates := c.candidates("s")
	if candidates[0].Capacity != 4 || candidates[1].Capacity <= 4 {
		t.Fatalf("capacities %v and %v, want 4 and more", candidates[0].Capacity, candidates[1].Capacity)
	}
}
