package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/standin"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// cluster is one cell with three gateways, four backend servers of a sharded service and two of a service that is not
// sharded.
type cluster struct {
	t       *testing.T
	network *network
	config  *config.Config
	store   *store.MemoryStore
	nodes   map[string]*Node
	servers map[string]*standin.Server
}

func clusterConfig() *config.Config {
	c := &config.Config{Team: "team", Preference: config.PreferAvailability, Zones: []config.Zone{{Name: "z", Region: "r"}}}
	for i := 1; i <= 3; i++ {
		n := strconv.Itoa(i)
		c.Hosts = append(c.Hosts, config.Host{Name: "h" + n, Zone: "z", Cell: "z-c01",
			PeerAddress: "10.0.0." + n + ":1", CallerAddress: "10.0.0." + n + ":2", AdminAddress: "10.0.0." + n + ":3"})
	}
	keyed := config.Service{Name: "keyed", Keyed: true, Partitions: 16, Fenced: true, Slots: 3, MaxConnections: 100,
		MaxRequestMillis: 400, Idempotent: []config.Rule{{Method: "GET", Path: "/**"}}}
	shared := config.Service{Name: "shared", Slots: 3, MaxConnections: 100, MaxRequestMillis: 400, Idempotent: []config.Rule{}}
	for i := 1; i <= 4; i++ {
		n := strconv.Itoa(i)
		keyed.Servers = append(keyed.Servers, config.Server{Name: "k" + n, Zone: "z", Cell: "z-c01", Address: "10.0.1." + n + ":1"})
	}
	for i := 1; i <= 2; i++ {
		n := strconv.Itoa(i)
		shared.Servers = append(shared.Servers, config.Server{Name: "s" + n, Zone: "z", Cell: "z-c01", Address: "10.0.2." + n + ":1"})
	}
	c.Services = []config.Service{keyed, shared}
	return c
}

func startCluster(t *testing.T) *cluster {
	c := &cluster{t: t, network: newNetwork(), config: clusterConfig(), store: store.NewMemoryStore(store.SystemClock{}),
		nodes: make(map[string]*Node), servers: make(map[string]*standin.Server)}
	if _, err := c.accept(accept.Request{ID: "first", Config: c.config}); err != nil {
		t.Fatal(err)
	}
	for _, service := range c.config.Services {
		for _, server := range service.Servers {
			c.startServer(service, server)
		}
	}
	for _, host := range c.config.Hosts {
		c.startNode(host.Name)
	}
	c.waitUntil("every service is available on every gateway", func() bool {
		for _, n := range c.nodes {
			if !n.Gateway().AllServicesAvailable() {
				return false
			}
		}
		return true
	})
	return c
}

func (c *cluster) startServer(service config.Service, server config.Server) {
	standIn := standin.New(standin.Options{Name: server.Name, Slots: service.Slots, Fenced: service.Fenced,
		ConnectionDelay: time.Millisecond, ProbeDelay: 6 * time.Millisecond, RunTime: 10 * time.Millisecond})
	listener, err := c.network.listen(server.Name)(server.Address)
	if err != nil {
		c.t.Fatal(err)
	}
	go forwardConnections(listener, standIn)
	c.servers[server.Name] = standIn
}

// forwardConnections forwards connections to the stand-in, which has an in-memory listener of its own.
func forwardConnections(listener net.Listener, server *standin.Server) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		inner, err := server.Dial(context.Background())
		if err != nil {
			_ = conn.Close()
			return
		}
		go pipe(conn, inner)
		go pipe(inner, conn)
	}
}

func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

func (c *cluster) startNode(name string) {
	host, _ := c.config.Host(name)
	seeds := make(map[string]string)
	for _, other := range c.config.Hosts {
		if other.Name != name {
			seeds[other.Name] = other.PeerAddress
		}
	}
	n, err := Start(Options{Host: name, Team: c.config.Team, PeerAddress: host.PeerAddress, CallerAddress: host.CallerAddress,
		AdminAddress: host.AdminAddress, Seeds: seeds, Store: c.store, Dial: c.network.dial(name),
		Listen: c.network.listen(name), Events: timeline.NewLog(timeline.LogOptions{Host: name}), Logs: logging.Discard()})
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[name] = n
}

func (c *cluster) killNode(name string) {
	n := c.nodes[name]
	delete(c.nodes, name)
	n.Kill()
	_ = n.options.Events.Close()
}

func (c *cluster) close() {
	for name := range c.nodes {
		c.killNode(name)
	}
	for _, server := range c.servers {
		server.Close()
	}
	for _, listener := range c.network.listeners {
		_ = listener.Close()
	}
}

func (c *cluster) accept(r accept.Request) (*config.Config, error) {
	return (&accept.Accepter{Store: c.store}).Accept(context.Background(), "team", r)
}

// waitUntil waits in fake time until the condition holds and returns how long that took. It fails the test after a
// minute, which is longer than any recovery.
func (c *cluster) waitUntil(what string, condition func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > time.Minute {
			c.t.Fatalf("after one minute, this condition still does not hold: %s\n%s", what, c.describe())
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// send sends one request through the gateway of a host and returns the status code, or 0 if there is no complete
// response.
func (c *cluster) send(host, method, path, key string, timeout time.Duration) int {
	transport := &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return c.network.dial("caller")(ctx, address)
		}}
	defer transport.CloseIdleConnections()
	entry, _ := c.config.Host(host)
	r, err := http.NewRequest(method, "http://"+entry.CallerAddress+path, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	r.Header.Set(gateway.HeaderSubscriber, "s")
	r.Header.Set(gateway.HeaderKey, key)
	r.Header.Set(gateway.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (c *cluster) holder() string {
	for name, n := range c.nodes {
		if n.Gateway().RoutingTable().Snapshot.IsHolder {
			return name
		}
	}
	return ""
}

func (c *cluster) anyNonHolder() string {
	for name := range c.nodes {
		if name != c.holder() {
			return name
		}
	}
	return ""
}

// servesEveryPartition sends one request for a key of each partition concurrently and reports whether all succeed.
func (c *cluster) servesEveryPartition(host string) bool {
	var failed atomic.Bool
	var clients sync.WaitGroup
	for _, key := range keyOfEachPartition(c.config.Services[0].Partitions) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if c.send(host, http.MethodGet, "/v1/keyed/status/1", key, 100*time.Millisecond) != http.StatusOK {
				failed.Store(true)
			}
		}()
	}
	clients.Wait()
	return !failed.Load()
}

func keyOfEachPartition(partitions int) map[keyspace.Partition]string {
	keys := make(map[keyspace.Partition]string)
	for i := 0; len(keys) < partitions; i++ {
		key := strconv.Itoa(i)
		keys[keyspace.PartitionOf(key, partitions)] = key
	}
	return keys
}

// maxRecoveryTime is the time after a failure within which every key must be served again.
const maxRecoveryTime = 2 * time.Second

// runWithFakeTime runs f in a bubble of testing/synctest. yamux keeps timers in a sync.Pool, and a bubble must not use
// timers of another bubble; two garbage collections empty every sync.Pool.
func runWithFakeTime(t *testing.T, f func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// Guards against keys that stay without an owner after a failure, also while the store is unavailable.
func TestKeysAreServedAgainWithinTwoSeconds(t *testing.T) {
	for _, f := range failures {
		for _, down := range []bool{false, true} {
			t.Run(f.name+"/store down "+strconv.FormatBool(down), func(t *testing.T) {
				runWithFakeTime(t, func(t *testing.T) { testRecovery(t, f, down) })
			})
		}
	}
}

// Guards against requests that a planned stop interrupts.
func TestPlannedStopInterruptsNoRequest(t *testing.T) { runWithFakeTime(t, testPlannedStop) }

// Guards against a revision that does not reach a gateway, that is lost while the store is unavailable, or that is
// replaced by an older one after the store was restored.
func TestAcceptedRevisionReachesEveryGateway(t *testing.T) { runWithFakeTime(t, testRevision) }

// Guards against a draining backend server that still gets requests after 3 s, and against keys that stay assigned to
// it.
func TestDrainingServerGetsNoNewRequests(t *testing.T) { runWithFakeTime(t, testDrain) }

func testDrain(t *testing.T) {
	c := startCluster(t)
	defer c.close()
	server := c.servers["k1"]
	server.ConfigureFaults(func(s *standin.FaultConfig) { s.Draining = true })
	time.Sleep(3 * time.Second)
	before := server.Counters().Executions
	if !c.servesEveryPartition(c.anyNonHolder()) {
		t.Error("not every key is served 3 s after a server began to drain")
	}
	if after := server.Counters().Executions; after != before {
		t.Errorf("the draining server executed %d requests after 3 s", after-before)
	}
	server.ConfigureFaults(func(s *standin.FaultConfig) { s.Draining = false })
	c.waitUntil("the server executes requests again after it stopped draining", func() bool {
		return c.servesEveryPartition(c.anyNonHolder()) && server.Counters().Executions > before
	})
}

type failure struct {
	name   string
	inject func(c *cluster)
}

var failures = []failure{
	{"holder", func(c *cluster) { c.killNode(c.holder()) }},
	{"member", func(c *cluster) { c.killNode(c.anyNonHolder()) }},
	{"server freezes", func(c *cluster) { c.servers["k1"].Freeze() }},
	{"holder is isolated", func(c *cluster) {
		name := c.holder()
		c.network.isolate(name)
		c.killNode(name)
	}},
	{"holder and server", func(c *cluster) { c.killNode(c.holder()); c.servers["k2"].Freeze() }},
}

func testRecovery(t *testing.T, f failure, storeDown bool) {
	c := startCluster(t)
	defer c.close()
	time.Sleep(3 * time.Second)
	c.store.SetDown(storeDown)
	time.Sleep(time.Second)
	f.inject(c)
	took := c.waitUntil("every key is served after "+f.name, func() bool { return c.servesEveryPartition(c.anyNonHolder()) })
	if took > maxRecoveryTime {
		t.Errorf("%s, store down %v: keys were served again after %v, want at most %v", f.name, storeDown, took, maxRecoveryTime)
	}
	t.Logf("%s, store down %v: served again after %v", f.name, storeDown, took)
}

func testPlannedStop(t *testing.T) {
	c := startCluster(t)
	defer c.close()
	stopping := c.holder()
	entry := c.anyNonHolder()
	var clients sync.WaitGroup
	for i := range 400 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			via := entry
			if i%2 == 0 && i < 100 {
				via = stopping // the readiness check of this gateway fails after 1 s
			}
			if status := c.send(via, http.MethodPost, "/v1/keyed/orders", strconv.Itoa(i), 3*time.Second); status != http.StatusOK {
				t.Errorf("request %d through %s ended with status %d", i, via, status)
			}
		}()
	}
	time.Sleep(time.Second)
	if err := c.nodes[stopping].Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	_ = c.nodes[stopping].options.Events.Close()
	delete(c.nodes, stopping)
	clients.Wait()
}

func testRevision(t *testing.T) {
	c := startCluster(t)
	defer c.close()
	revised := c.config.Clone()
	revised.Services[0].Slots = 4
	accepted, err := c.accept(accept.Request{ID: "second", BaseRevision: 1, Config: revised})
	if err != nil {
		t.Fatal(err)
	}
	took := c.waitUntil("the revision is in force", func() bool { return c.revisionInForceEverywhere(accepted.Revision) })
	if limit := 7 * time.Second; took > limit {
		t.Errorf("in force after %v, want at most %v", took, limit)
	}
	c.store.SetDown(true)
	restarted := c.anyNonHolder()
	c.killNode(restarted)
	c.startNode(restarted)
	c.waitUntil("a restarted gateway gets the revision from its peers", func() bool { return c.revisionInForceEverywhere(accepted.Revision) })
	c.store.SetDown(false)
	if err := c.store.Restore(config.StoreKey("team"), 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Second)
	if !c.revisionInForceEverywhere(accepted.Revision) {
		t.Error("a gateway reverted to the older revision of the restored store")
	}
}

func (c *cluster) revisionInForceEverywhere(revision uint64) bool {
	for _, n := range c.nodes {
		if v := n.Gateway().RoutingTable(); v == nil || v.Config.Revision < revision {
			return false
		}
	}
	return true
}
