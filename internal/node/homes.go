package node

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/home"
	"github.com/sapphireplank/sapphireplank/internal/metrics"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// reporter takes what homes observe.
type reporter interface {
	// Report must not block; it may drop what the home repeats.
	Report(cell.Report)
	// Deliver may block and drops nothing.
	Deliver(cell.Report)
}

// homes holds the dispatchers of the backend servers whose home this gateway is. Apply and Configure run on the
// control goroutine; Dispatcher is called by the traffic.
type homes struct {
	start    time.Time
	dial     peer.DialFunc
	reports  reporter
	recorder timeline.Recorder
	metrics  *metrics.Metrics
	log      logrus.FieldLogger
	leaseEnd atomic.Int64
	byServer atomic.Pointer[map[string]*homeEntry]
	closing  sync.WaitGroup

	// servers is used by the control goroutine only.
	servers map[string]serverConfig
}

// serverConfig is one backend server with its service.
type serverConfig struct {
	service *config.Service
	server  config.Server
}

// homeEntry is one dispatcher.
type homeEntry struct {
	server     serverConfig
	dispatcher *home.Dispatcher
	client     *backend.Client
	applied    appliedView
	leaving    bool
}

func newHomes(start time.Time, dial peer.DialFunc, recorder timeline.Recorder, m *metrics.Metrics) *homes {
	h := &homes{start: start, dial: dial, recorder: recorder, metrics: m}
	h.byServer.Store(&map[string]*homeEntry{})
	return h
}

// Dispatcher returns the dispatcher of a backend server.
func (h *homes) Dispatcher(server string) (gateway.Dispatcher, bool) {
	entry, ok := (*h.byServer.Load())[server]
	if !ok {
		return nil, false
	}
	return entry.dispatcher, true
}

// Configure takes the servers of a configuration.
func (h *homes) Configure(c *config.Config) {
	h.servers = make(map[string]serverConfig)
	for i := range c.Services {
		service := &c.Services[i]
		for _, server := range service.Servers {
			h.servers[server.Name] = serverConfig{service: service, server: server}
		}
	}
}

// Apply opens, updates and closes dispatchers so that they match the snapshot.
func (h *homes) Apply(s *cell.Snapshot) {
	renewed := h.leaseEnd.Swap(int64(s.HomeLeaseEnd)) < int64(s.HomeLeaseEnd)
	current := *h.byServer.Load()
	next := maps.Clone(current)
	for name, entry := range current {
		if view, ok := s.Servers[name]; !ok || !view.Local || h.replaced(entry) {
			delete(next, name)
			h.close(entry)
		}
	}
	for name, view := range s.Servers {
		if view.Local {
			h.applyServer(next, s, view, name, renewed)
		}
	}
	h.byServer.Store(&next)
}

// replaced reports whether the configuration has changed what the dispatcher was opened with.
func (h *homes) replaced(entry *homeEntry) bool {
	now, ok := h.servers[entry.server.server.Name]
	was := entry.server
	return !ok || now.server.Address != was.server.Address || now.service.Slots != was.service.Slots ||
		now.service.Fenced != was.service.Fenced || now.service.Partitions != was.service.Partitions ||
		now.service.MaxRequestMillis != was.service.MaxRequestMillis
}

func (h *homes) applyServer(next map[string]*homeEntry, s *cell.Snapshot, view cell.ServerView, name string, renewed bool) {
	entry, ok := next[name]
	if !ok {
		server, known := h.servers[name]
		if !known || view.Releasing {
			h.releaseUnused(view)
			return
		}
		entry = h.open(server)
		next[name] = entry
	}
	if view.Releasing {
		h.leave(entry, view)
		return
	}
	entry.apply(s.Services[view.Service])
	if renewed {
		entry.dispatcher.Wake()
	}
}

// releaseUnused reports the release of a server that this gateway has no dispatcher for.
func (h *homes) releaseUnused(view cell.ServerView) {
	if view.Releasing {
		h.reports.Report(cell.Report{ReleasedServers: []cell.ServerRelease{{Server: view.Name, Token: view.Token}}})
	}
}

func (h *homes) open(server serverConfig) *homeEntry {
	service := server.service
	address := server.server.Address
	client := backend.New(backend.Options{
		Address: address,
		Slots:   service.Slots,
		Dial:    func(ctx context.Context) (net.Conn, error) { return h.dial(ctx, address) },
	})
	entry := &homeEntry{server: server, client: client}
	converter := &reportConverter{homes: h, server: server}
	entry.dispatcher = home.Open(home.Config{
		Service:                  service.Name,
		Server:                   server.server.Name,
		Slots:                    service.Slots,
		Keyed:                    service.Keyed,
		Partitions:               service.Partitions,
		Fenced:                   service.Fenced,
		MaxRunTime:               time.Duration(service.MaxRequestMillis) * time.Millisecond,
		LeaseEnd:                 h.lease,
		RequireNewTokenAfterDown: true,
		OnReport:                 converter.convert,
		Recorder:                 h.recorder,
		Log:                      h.log,
	}, client)
	return entry
}

// lease returns the end of the home lease.
func (h *homes) lease() time.Time {
	return h.start.Add(time.Duration(h.leaseEnd.Load()))
}

// monotonic converts a time to the time since the start of the process. The zero time is 0.
func (h *homes) monotonic(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(h.start)
}

func (h *homes) close(entry *homeEntry) {
	h.closing.Add(1)
	go func() {
		defer h.closing.Done()
		entry.dispatcher.Close()
		entry.client.Close()
		h.metrics.RemoveServer(entry.server.server.Name)
	}()
}

// leave hands a server over and reports its release.
func (h *homes) leave(entry *homeEntry, view cell.ServerView) {
	if entry.leaving {
		return
	}
	entry.leaving = true
	h.closing.Add(1)
	go func() {
		defer h.closing.Done()
		ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		if err := entry.dispatcher.Leave(ctx); err != nil {
			return
		}
		h.reports.Deliver(cell.Report{ReleasedServers: []cell.ServerRelease{{Server: view.Name, Token: view.Token}}})
	}()
}

// closeAll ends all dispatchers.
func (h *homes) closeAll() {
	for _, entry := range *h.byServer.Load() {
		h.close(entry)
	}
	h.byServer.Store(&map[string]*homeEntry{})
	h.closing.Wait()
}
