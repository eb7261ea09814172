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

// eventFileMode grants write access to the owner only and read access to everyone.
const eventFileMode = 0o644

// initialRevision is the revision of the initial configuration of a deployment.
const initialRevision = 1

// Deployment runs the store, the backend servers and the gateways of one team.
type Deployment struct {
	Name       string
	Config     *config.Config
	Store      *store.MemoryStore
	Executions *ExecutionLog
	Records    *RecordLog
	Balancer   *Balancer
	servers    *servers
	revisions  *revisionChecker
	closed     chan struct{}
	options    Options
	eventFiles []io.Closer
	// storeLinks holds the connection of each gateway to the store, by host.
	storeLinks map[string]*store.Link

	// mu protects the fields below.
	mu    sync.Mutex
	nodes map[string]*node.Node
}

// StartDeployment starts the store, all backend servers and all gateways of a configuration, with default options.
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
		Records:    new(RecordLog),
		Balancer:   new(Balancer),
		nodes:      make(map[string]*node.Node),
		closed:     make(chan struct{}),
		revisions:  newRevisionChecker(),
		options:    o,
		storeLinks: make(map[string]*store.Link),
	}
	if err := d.writeInitialConfig(); err != nil {
		return nil, err
	}
	var err error
	if d.servers, err = startServers(o.Config, d.Executions, o.RunTime, o.Seed); err != nil {
		return nil, err
	}
	for _, host := range o.Config.Hosts {
		d.storeLinks[host.Name] = store.NewLink(d.Store)
		if err := d.StartGateway(host.Name); err != nil {
			d.Close()
			return nil, err
		}
	}
	go d.trackReadiness()
	return d, nil
}

// writeInitialConfig writes the initial configuration to the store.
func (d *Deployment) writeInitialConfig() error {
	d.Config.Revision = initialRevision
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
	events, err := d.openEventLog(name)
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
		Seeds:         d.peerSeeds(name),
		Store:         d.storeLinks[name],
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

// openEventLog opens the event log of a host. It returns nil if no event logs are written.
func (d *Deployment) openEventLog(host string) (io.Writer, error) {
	if d.options.EventDir == "" {
		return nil, nil
	}
	flags := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	file, err := os.OpenFile(filepath.Join(d.options.EventDir, host+".jsonl"), flags, eventFileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the event log; choose another --events")
	}
	d.eventFiles = append(d.eventFiles, file)
	return file, nil
}

func (d *Deployment) peerSeeds(self string) map[string]string {
	seeds := make(map[string]string)
	for _, host := range d.Config.Hosts {
		if host.Name != self {
			seeds[host.Name] = host.PeerAddress
		}
	}
	return seeds
}

// readinessInterval is the interval at which the addresses of the ready gateways are passed to the balancer.
const readinessInterval = 250 * time.Millisecond

// trackReadiness passes the addresses of the ready gateways to the balancer until Close. It keeps the last addresses
// while no gateway is ready. It also checks the configuration revisions of the gateways.
func (d *Deployment) trackReadiness() {
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
	for _, n := range d.runningNodes() {
		if n.Gateway().Ready() {
			addresses = append(addresses, n.CallerAddress())
		}
	}
	return addresses
}

// ErrNotReady means that a deployment did not become ready in time.
var ErrNotReady = errors.New("some partitions have no owner with a home; check the logs of the gateways")

// readyPollInterval is the interval at which WaitReady checks the gateways.
const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every partition of every cell has an owner with a home.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for !d.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrNotReady, "deployment %s", d.Name)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (d *Deployment) ready() bool {
	for _, n := range d.runningNodes() {
		if !n.Gateway().AllServicesAvailable() {
			return false
		}
	}
	return true
}

// Node returns the gateway of a host if it is running.
func (d *Deployment) Node(host string) (*node.Node, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.nodes[host]
	return n, ok
}

func (d *Deployment) runningNodes() []*node.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.nodes))
}

// removeNode removes a gateway from the running ones and returns it.
func (d *Deployment) removeNode(name string) (*node.Node, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, ok := d.nodes[name]
	delete(d.nodes, name)
	return n, ok
}

// KillGateway terminates a gateway without a shutdown, as in a crash. The balancer removes its address within
// readinessInterval.
func (d *Deployment) KillGateway(name string) {
	if n, ok := d.removeNode(name); ok {
		n.Kill()
	}
}

// StopGateway shuts a gateway down as in a planned stop. The balancer removes its address when it is no longer ready.
func (d *Deployment) StopGateway(ctx context.Context, name string) error {
	n, ok := d.Node(name)
	if !ok {
		return nil
	}
	err := n.Shutdown(ctx)
	d.removeNode(name)
	return err
}

// AnnounceStop announces a planned stop that begins immediately.
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

// Close terminates all gateways without a shutdown and closes the backend servers and event logs.
func (d *Deployment) Close() {
	close(d.closed)
	for _, n := range d.runningNodes() {
		d.KillGateway(n.Host())
	}
	if d.servers != nil {
		d.servers.close()
	}
	for _, file := range d.eventFiles {
		_ = file.Close()
	}
}
