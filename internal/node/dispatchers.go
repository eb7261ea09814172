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

// cellReporter receives the reports of dispatchers.
type cellReporter interface {
	// Report must not block. It may drop a report, because the dispatcher repeats the content in its next report.
	Report(cell.Report)
	// Deliver may block and does not drop reports.
	Deliver(cell.Report)
}

// dispatchers manages the dispatchers of the backend servers for which this gateway is the home gateway. Apply and
// Configure are called from the goroutine of the control loop, Dispatcher from the request path.
type dispatchers struct {
	start      time.Time
	dial       peer.DialFunc
	reporter   cellReporter
	recorder   timeline.Recorder
	metrics    *metrics.Metrics
	log        logrus.FieldLogger
	leaseEnd   atomic.Int64
	byServer   atomic.Pointer[map[string]*dispatcherEntry]
	background sync.WaitGroup

	// configured holds the configured backend servers by name. Only the goroutine of the control loop uses it.
	configured map[string]backendConfig
}

// backendConfig is the configuration of one backend server and its service.
type backendConfig struct {
	service *config.Service
	server  config.Server
}

// dispatcherEntry is a dispatcher with the configuration with which it was opened.
type dispatcherEntry struct {
	backend          backendConfig
	dispatcher       *home.Dispatcher
	client           *backend.Client
	appliedOwnership ownershipIdentity
	handingOver      bool
}

func newDispatchers(start time.Time, dial peer.DialFunc, recorder timeline.Recorder, m *metrics.Metrics) *dispatchers {
	d := &dispatchers{start: start, dial: dial, recorder: recorder, metrics: m}
	d.byServer.Store(&map[string]*dispatcherEntry{})
	return d
}

// Dispatcher returns the dispatcher of a backend server, or false if this gateway is not its home gateway.
func (d *dispatchers) Dispatcher(server string) (gateway.Dispatcher, bool) {
	entry, ok := (*d.byServer.Load())[server]
	if !ok {
		return nil, false
	}
	return entry.dispatcher, true
}

// Configure sets the backend servers of the configuration in force.
func (d *dispatchers) Configure(c *config.Config) {
	d.configured = make(map[string]backendConfig)
	for i := range c.Services {
		service := &c.Services[i]
		for _, server := range service.Servers {
			d.configured[server.Name] = backendConfig{service: service, server: server}
		}
	}
}

// Apply opens, updates and closes dispatchers according to the snapshot.
func (d *dispatchers) Apply(s *cell.Snapshot) {
	renewed := d.leaseEnd.Swap(int64(s.HomeLeaseEnd)) < int64(s.HomeLeaseEnd)
	current := *d.byServer.Load()
	next := maps.Clone(current)
	for name, entry := range current {
		if view, ok := s.Servers[name]; !ok || !view.Local || d.settingsChanged(entry) {
			delete(next, name)
			d.close(entry)
		}
	}
	for name, view := range s.Servers {
		if view.Local {
			d.updateServer(next, s, view, name, renewed)
		}
	}
	d.byServer.Store(&next)
}

// settingsChanged reports whether the configuration changed in a way that requires a new dispatcher.
func (d *dispatchers) settingsChanged(entry *dispatcherEntry) bool {
	current, ok := d.configured[entry.backend.server.Name]
	opened := entry.backend
	return !ok || current.server.Address != opened.server.Address || current.service.Slots != opened.service.Slots ||
		current.service.Fenced != opened.service.Fenced || current.service.Partitions != opened.service.Partitions ||
		current.service.MaxRequestMillis != opened.service.MaxRequestMillis
}

func (d *dispatchers) updateServer(
	next map[string]*dispatcherEntry, s *cell.Snapshot, view cell.ServerView, name string, renewed bool,
) {
	entry, ok := next[name]
	if !ok {
		server, known := d.configured[name]
		if !known || view.Releasing {
			d.reportUnusedRelease(view)
			return
		}
		entry = d.open(server)
		next[name] = entry
	}
	if view.Releasing {
		d.handOver(entry, view)
		return
	}
	entry.updateOwnership(s.Services[view.Service])
	if renewed {
		entry.dispatcher.Wake()
	}
}

// reportUnusedRelease reports a server in release as released at once, because this gateway has no dispatcher for it.
func (d *dispatchers) reportUnusedRelease(view cell.ServerView) {
	if view.Releasing {
		d.reporter.Report(cell.Report{ReleasedServers: []cell.ServerRelease{{Server: view.Name, Token: view.Token}}})
	}
}

func (d *dispatchers) open(server backendConfig) *dispatcherEntry {
	service := server.service
	address := server.server.Address
	client := backend.New(backend.Options{
		Address: address,
		Slots:   service.Slots,
		Dial:    func(ctx context.Context) (net.Conn, error) { return d.dial(ctx, address) },
	})
	entry := &dispatcherEntry{backend: server, client: client}
	converter := &reportConverter{dispatchers: d, backend: server}
	entry.dispatcher = home.Open(home.Config{
		Service:                  service.Name,
		Server:                   server.server.Name,
		Slots:                    service.Slots,
		Keyed:                    service.Keyed,
		Partitions:               service.Partitions,
		Fenced:                   service.Fenced,
		MaxRunTime:               time.Duration(service.MaxRequestMillis) * time.Millisecond,
		LeaseEnd:                 d.leaseEndTime,
		RequireNewTokenAfterDown: true,
		OnReport:                 converter.convert,
		Recorder:                 d.recorder,
		Log:                      d.log,
	}, client)
	return entry
}

// leaseEndTime returns the time at which the home lease expires.
func (d *dispatchers) leaseEndTime() time.Time {
	return d.start.Add(time.Duration(d.leaseEnd.Load()))
}

// sinceStart converts a time to monotonic time, which starts at 0 with the process. The zero time is converted to 0.
func (d *dispatchers) sinceStart(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(d.start)
}

func (d *dispatchers) close(entry *dispatcherEntry) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		entry.dispatcher.Close()
		entry.client.Close()
		d.metrics.RemoveServer(entry.backend.server.Name)
	}()
}

// handOver drains the dispatcher of a server and then reports that this gateway has released the server.
func (d *dispatchers) handOver(entry *dispatcherEntry, view cell.ServerView) {
	if entry.handingOver {
		return
	}
	entry.handingOver = true
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		if err := entry.dispatcher.Leave(ctx); err != nil {
			return
		}
		d.reporter.Deliver(cell.Report{ReleasedServers: []cell.ServerRelease{{Server: view.Name, Token: view.Token}}})
	}()
}

// closeAll closes all dispatchers and waits until all background work has ended.
func (d *dispatchers) closeAll() {
	for _, entry := range *d.byServer.Load() {
		d.close(entry)
	}
	d.byServer.Store(&map[string]*dispatcherEntry{})
	d.background.Wait()
}
