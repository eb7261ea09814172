package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// fakeDispatchers implements Dispatchers with one function per backend server.
type fakeDispatchers map[string]dispatchFunc

type dispatchFunc func(ctx context.Context, r *backend.Request) (*backend.Response, error)

func (f dispatchFunc) Do(ctx context.Context, r *backend.Request) (*backend.Response, error) {
	return f(ctx, r)
}

func (dispatchFunc) LoadPercent() uint32 { return 0 }

func (d fakeDispatchers) Dispatcher(server string) (Dispatcher, bool) {
	f, ok := d[server]
	return f, ok
}

type countingObserver struct {
	mu       sync.Mutex
	outcomes map[outcome.Outcome]int
	retries  int
}

func (o *countingObserver) RequestCompleted(_ string, _ int, result outcome.Outcome, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[result]++
}

func (o *countingObserver) RequestRetried(string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retries++
}

// gatewayPair is two gateways of one cell: clients connect to "entry", and "home" is the home gateway of all backend
// servers.
type gatewayPair struct {
	entry, home *Gateway
	entryServer *httptest.Server
	peers       *peer.Pool
	observer    *countingObserver
}

func testConfig(address string) *config.Config {
	return &config.Config{
		Revision: 1,
		Hosts: []config.Host{
			{Name: "entry", Zone: "z", Cell: "z-1"},
			{Name: "home", Zone: "z", Cell: "z-1", PeerAddress: address},
		},
		Services: []config.Service{
			{Name: "keyed", Keyed: true, Partitions: 4, Slots: 3, Idempotent: []config.Rule{{Method: "GET", Path: "/**"}},
				Servers: []config.Server{{Name: "k1", Cell: "z-1"}}},
			{Name: "shared", Slots: 3, Servers: []config.Server{{Name: "s1", Cell: "z-1"}}},
		},
	}
}

func testSnapshot(owner string) *cell.Snapshot {
	owners := make([]cell.Owner, 4)
	for i := range owners {
		owners[i].Server = owner
	}
	return &cell.Snapshot{
		Servers: map[string]cell.ServerView{
			"k1": {Name: "k1", Home: "home", State: cell.ServerUp},
			"s1": {Name: "s1", Home: "home", State: cell.ServerUp},
		},
		Services: map[string]*cell.ServiceView{"keyed": {Owners: owners}},
	}
}

func newGatewayPair(t testing.TB, dispatchers fakeDispatchers) *gatewayPair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &gatewayPair{peers: peer.NewPool(peer.DialTCP), observer: &countingObserver{outcomes: make(map[outcome.Outcome]int)}}
	c := testConfig(listener.Addr().String())
	p.entry = New(Options{Self: "entry", Dispatchers: fakeDispatchers{}, Peers: p.peers, Events: timeline.Discard{}, Observer: p.observer})
	p.home = New(Options{Self: "home", Dispatchers: dispatchers, Peers: p.peers, Events: timeline.Discard{}, Observer: p.observer})
	p.entry.SetRoutingTable(NewRoutingTable("entry", c, testSnapshot("k1")))
	p.home.SetRoutingTable(NewRoutingTable("home", c, testSnapshot("k1")))
	server := peer.NewServer(requestOnlyHandler{p.home})
	go func() { _ = server.Serve(listener) }()
	p.entryServer = httptest.NewServer(p.entry)
	t.Cleanup(func() {
		p.entryServer.Close()
		_ = listener.Close()
		p.peers.Close()
		server.Close()
	})
	return p
}

type requestOnlyHandler struct{ *Gateway }

func (requestOnlyHandler) HandleControl([]byte)      {}
func (requestOnlyHandler) HandleQuery([]byte) []byte { return nil }

func (p *gatewayPair) request(t *testing.T, method, path string, header map[string]string, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, p.entryServer.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderSubscriber, "subscriber-1")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return r
}

func newResponse(body string) *backend.Response {
	return &backend.Response{
		Status:        http.StatusOK,
		Header:        http.Header{"X-Backend": {"k1"}},
		Body:          io.NopCloser(strings.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}
