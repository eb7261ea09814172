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

// cluster is one cell of three gateways with four servers of a keyed service and two of another one.
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
		c.start(host.Name)
	}
	c.until("every partition has a home", func() bool {
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
	one := standin.New(standin.Options{Name: server.Name, Slots: service.Slots, Fenced: service.Fenced,
		ConnectionDelay: time.Millisecond, ProbeDelay: 6 * time.Millisecond, RunTime: 10 * time.Millisecond})
	listener, err := c.network.listen(server.Name)(server.Address)
	if err != nil {
		c.t.Fatal(err)
	}
	go relay(listener, one)
	c.servers[server.Name] = one
}

// relay passes connections on to the stand-in, which listens in memory itself.
func relay(listener net.Listener, server *standin.Server) {
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

func (c *cluster) start(name string) {
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

func (c *cluster) kill(name string) {
	n := c.nodes[name]
	delete(c.nodes, name)
	n.Kill()
	_ = n.options.Events.Close()
}

func (c *cluster) close() {
	for name := range c.nodes {
		c.kill(name)
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

// until waits, in fake time, for a condition. It gives up after a minute, which no recovery takes.
func (c *cluster) until(what string, condition func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > time.Minute {
			c.t.Fatalf("after a minute it is still not true that %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// send sends one request through the gateway of a host and returns the status, or 0.
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
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	if _, err := io.ReadAll(answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

func (c *cluster) holder() string {
	for name, n := range c.nodes {
		if n.Gateway().RoutingTable().Snapshot.Self {
			return name
		}
	}
	return ""
}

func (c *cluster) anyNode() string {
	for name := range c.nodes {
		if name != c.holder() {
			return name
		}
	}
	return ""
}

// servesAll sends one request for a key of each partition at the same time.
func (c *cluster) servesAll(host string) bool {
	var failed atomic.Bool
	var callers sync.WaitGroup
	for _, key := range keyOfEachPartition(c.config.Services[0].Partitions) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			if c.send(host, http.MethodGet, "/v1/keyed/status/1", key, 100*time.Millisecond) != http.StatusOK {
				failed.Store(true)
			}
		}()
	}
	callers.Wait()
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

// recoveryBound is the time after a loss within which every key must be served again.
const recoveryBound = 2 * time.Second

// inBubble runs f on fake time. yamux keeps timers in a sync.Pool, and a bubble must not use the timers of another one;
// two collections empty every sync.Pool.
func inBubble(t *testing.T, f func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// Guards against keys that stay without an owner after a loss, also while the store is down.
func TestKeysAreServedAgainWithinTwoSeconds(t *testing.T) {
	for _, l := range losses {
		for _, down := range []bool{false, true} {
			t.Run(l.name+"/store down "+strconv.FormatBool(down), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { testRecovery(t, l, down) })
			})
		}
	}
}

// Guards against requests that a planned stop cuts off.
func TestPlannedStopCutsNothing(t *testing.T) { inBubble(t, testPlannedStop) }

// Guards against a revision that does not reach a gateway, that is lost with the store, or that goes back.
func TestAcceptedRevisionReachesEveryGateway(t *testing.T) { inBubble(t, testRevision) }

// Guards against a draining backend server that still gets work after 3 s, and against keys that stay with it.
func TestDrainingServerGetsNoNewWork(t *testing.T) { inBubble(t, testDrain) }

func testDrain(t *testing.T) {
	c := startCluster(t)
	defer c.close()
	server := c.servers["k1"]
	server.ConfigureFaults(func(s *standin.FaultConfig) { s.Draining = true })
	time.Sleep(3 * time.Second)
	before := server.Counters().Executions
	if !c.servesAll(c.anyNode()) {
		t.Error("not every key is served 3 s after a server began to drain")
	}
	if after := server.Counters().Executions; after != before {
		t.Errorf("the draining server started %d requests after 3 s", after-before)
	}
	server.ConfigureFaults(func(s *standin.FaultConfig) { s.Draining = false })
	c.until("the server that came back has work", func() bool {
		return c.servesAll(c.anyNode()) && server.Counters().Executions > before
	})
}

type loss struct {
	name string
	lose func(c *cluster)
}

var losses = []loss{
	{"holder", func(c *cluster) { c.kill(c.holder()) }},
	{"member", func(c *cluster) { c.kill(c.anyNode()) }},
	{"server freezes", func(c *cluster) { c.servers["k1"].Freeze() }},
	{"holder is isolated", func(c *cluster) {
		name := c.holder()
		c.network.isolate(name)
		c.kill(name)
	}},
	{"holder and server", func(c *cluster) { c.kill(c.holder()); c.servers["k2"].Freeze() }},
}

func testRecovery(t *testing.T, l loss, storeDown bool) {
	c := startCluster(t)
	defer c.close()
	time.Sleep(3 * time.Second)
	c.store.SetDown(storeDown)
	time.Sleep(time.Second)
	l.lose(c)
	took := c.until("every key is served after "+l.name, func() bool { return c.servesAll(c.anyNode()) })
	if took > recoveryBound {
		t.Errorf("%s, store down %v: keys were served again after %v, want at most %v", l.name, storeDown, took, recoveryBound)
	}
	t.Logf("%s, store down %v: served again after %v", l.name, storeDown, took)
}

func testPlannedStop(t *testing.T) {
	c := startCluster(t)
	defer c.close()
	stopping := c.holder()
	entry := c.anyNode()
	var callers sync.WaitGroup
	for i := range 400 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			via := entry
			if i%2 == 0 && i < 100 {
				via = stopping // its readiness fails after 1 s
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
	callers.Wait()
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
	took := c.until("the revision is in force", func() bool { return c.allInForce(accepted.Revision) })
	if limit := 7 * time.Second; took > limit {
		t.Errorf("in force after %v, want at most %v", took, limit)
	}
	c.store.SetDown(true)
	fresh := c.anyNode()
	c.kill(fresh)
	c.start(fresh)
	c.until("a fresh gateway has the revision from its peers", func() bool { return c.allInForce(accepted.Revision) })
	c.store.SetDown(false)
	if err := c.store.Restore(config.StoreKey("team"), 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Second)
	if !c.allInForce(accepted.Revision) {
		t.Error("a gateway went back to the restored revision")
	}
}

func (c *cluster) allInForce(revision uint64) bool {
	for _, n := range c.nodes {
		if v := n.Gateway().RoutingTable(); v == nil || v.Config.Revision < revision {
			return false
		}
	}
	return true
}
