package dev

import (
	"context"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/node"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// eventFileMode lets the owner write and others read.
const eventFileMode = 0o644

// firstRevision is the revision of the configuration that a deployment starts with.
const firstRevision = 1

// Deployment is one team with its store, backend servers and gateways.
type Deployment struct {
	Name       string
	Config     *config.Config
	Store      *store.MemoryStore
	Executions *ExecutionLog
	Ledger     *Ledger
	Balancer   *Balancer
	servers    *servers
	revisions  *revisionWatch
	closed     chan struct{}
	options    Options
	files      []io.Closer
	// links are the paths of the gateways to the store, by host.
	links map[string]*store.Link

	// mu protects the fields below.
	mu    sync.Mutex
	nodes map[string]*node.Node
}

// StartDeployment starts the store, all backend servers and all gateways of a configuration.
func StartDeployment(name string, c *config.Config, logs *logging.Loggers, eventDir string, seed uint64) (*Deployment, error) {
	return Start(Options{Name: name, Config: c, Logs: logs, EventDir: eventDir, Seed: seed})
}

// Start starts the store, all backend servers and all gateways of a deployment.
func Start(o Options) (*Deployment, error) {
	o = o.withDefaults()
	d := &Deployment{
		Name:       o.Name,
		Config:     o.Config,
		Store:      store.NewMemoryStore(store.SystemClock{}),
		Executions: new(ExecutionLog),
		Ledger:     new(Ledger),
		Balancer:   new(Balancer),
		nodes:      make(map[string]*node.Node),
		closed:     make(chan struct{}),
		revisions:  newRevisionWatch(),
		options:    o,
		links:      make(map[string]*store.Link),
	}
	if err := d.accept(); err != nil {
		return nil, err
	}
	var err error
	if d.servers, err = startServers(o.Config, d.Executions, o.ServiceTime, o.Seed); err != nil {
		return nil, err
	}
	for _, host := range o.Config.Hosts {
		d.links[host.Name] = store.NewLink(d.Store)
		if err := d.StartGateway(host.Name); err != nil {
			d.Close()
			return nil, err
		}
	}
	go d.followReadiness()
	return d, nil
}

// accept writes the first configuration into the store.
func (d *Deployment) accept() error {
	d.Config.Revision = firstRevision
	d.Config.ID = "initial"
	data, err := d.Config.Encode()
	if err != nil {
		return err
	}
	_, err = d.Store.CompareAndSwap(context.Background(), config.StoreKey(d.Config.Team), 0, data)
	return err
}

// StartGateway starts the gateway of a host.
func (d *Deployment) StartGateway(name string) error {
	host, _ := d.Config.Host(name)
	events, err := d.openEvents(name)
	if err != nil {
		return err
	}
	tokens, err := operatorTokens(d.Config.Team)
	if err != nil {
		return err
	}
	started, err := node.Start(node.Options{
		Host:          name,
		Team:          d.Config.Team,
		PeerAddress:   host.PeerAddress,
		CallerAddress: host.CallerAddress,
		AdminAddress:  host.AdminAddress,
		Seeds:         d.seeds(name),
		Store:         d.links[name],
		Dial:          d.options.Network.dialer(name),
		Events:        timeline.NewLog(timeline.LogOptions{Host: name, Output: events}),
		Logs:          d.options.Logs,
		Tokens:        tokens,
	})
	if err != nil {
		return errors.Wrapf(err, "gateway %s", name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes[name] = started
	return nil
}

// openEvents returns the file for the events of a host, or nil.
func (d *Deployment) openEvents(host string) (io.Writer, error) {
	if d.options.EventDir == "" {
		return nil, nil
	}
	flags := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	file, err := os.OpenFile(filepath.Join(d.options.EventDir, host+".jsonl"), flags, eventFileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the event log; choose another --events")
	}
	d.files = append(d.files, file)
	return file, nil
}

func (d *Deployment) seeds(self string) map[string]string {
	seeds := make(map[string]string)
	for _, host := range d.Config.Hosts {
		if host.Name != self {
			seeds[host.Name] = host.PeerAddress
		}
	}
	return seeds
}

// readinessInterval is the interval at which the balancer asks the gateways for their readiness.
const readinessInterval = 250 * time.Millisecond

// followReadiness keeps the balancer at the gateways that are ready, until Close.
func (d *Deployment) followReadiness() {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		if addresses := d.readyAddresses(); len(addresses) > 0 {
			d.Balancer.Set(addresses)
		}
		d.observeRevisions()
		select {
		case <-d.closed:
			return
		case <-ticker.C:
		}
	}
}

func (d *Deployment) readyAddresses() []string {
	var addresses []string
	for _, n := range d.all() {
		if n.Gateway().Ready() {
			addresses = append(addresses, n.CallerAddress())
		}
	}
	return addresses
}

// ErrNotReady means that a deployment did not come up.
var ErrNotReady = errors.New("not every partition has an owner with a home; look at the log of the gateways")

// readyPoll is the interval at which WaitReady looks again.
const readyPoll = 20 * time.Millisecond

// WaitReady waits until every partition of every cell has an owner with a home.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for !d.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrNotReady, "deployment %s", d.Name)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (d *Deployment) ready() bool {
	for _, n := range d.all() {
		if !n.Gateway().Serves() {
			return false
		}
	}
	return true
}

// Node returns the gateway of a host, if it runs.
func (d *Deployment) Node(host string) (*node.Node, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.nodes[host]
	return n, ok
}

// all returns the running gateways.
func (d *Deployment) all() []*node.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.nodes))
}

// take removes a gateway from the running ones.
func (d *Deployment) take(name string) (*node.Node, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.nodes[name]
	delete(d.nodes, name)
	return n, ok
}

// KillGateway ends a gateway as a crash does. The balancer notices after a while.
func (d *Deployment) KillGateway(name string) {
	if n, ok := d.take(name); ok {
		n.Kill()
	}
}

// StopGateway is a planned stop of a gateway. The balancer follows its readiness.
func (d *Deployment) StopGateway(ctx context.Context, name string) error {
	n, ok := d.Node(name)
	if !ok {
		return nil
	}
	err := n.Shutdown(ctx)
	d.take(name)
	return err
}

// AnnounceStop announces a planned stop that begins now.
func (d *Deployment) AnnounceStop(ctx context.Context, target string, length time.Duration) error {
	accepter := &accept.Accepter{Store: d.Store}
	accepted, err := accepter.Announce(ctx, d.Config.Team, accept.Announcement{
		ID:       "stop-" + target,
		Operator: "plank-dev",
		Stop:     config.Stop{Target: target, At: time.Now(), ForSeconds: int64(length.Seconds())},
	})
	if err == nil {
		d.revisions.accept(accepted.Revision, time.Now())
	}
	return err
}

// Close ends everything at once.
func (d *Deployment) Close() {
	close(d.closed)
	for _, n := range d.all() {
		d.KillGateway(n.Host())
	}
	if d.servers != nil {
		d.servers.close()
	}
	for _, file := range d.files {
		_ = file.Close()
	}
}
