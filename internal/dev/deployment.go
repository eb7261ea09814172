package dev

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/control"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/node"
	"github.com/sapphireplank/sapphireplank/internal/peer"
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
	Store      *store.Memory
	Executions *ExecutionLog
	Ledger     *Ledger
	Balancer   *Balancer
	servers    *servers
	nodes      map[string]*node.Node
	logs       *logging.Logs
	// eventDir is the directory for event logs, or "".
	eventDir string
	files    []io.Closer
}

// StartDeployment starts the store, all backend servers and all gateways of a configuration.
func StartDeployment(name string, c *config.Config, logs *logging.Logs, eventDir string, seed uint64) (*Deployment, error) {
	d := &Deployment{
		Name:       name,
		Config:     c,
		Store:      store.NewMemory(store.SystemClock{}),
		Executions: new(ExecutionLog),
		Ledger:     new(Ledger),
		Balancer:   new(Balancer),
		nodes:      make(map[string]*node.Node),
		logs:       logs,
		eventDir:   eventDir,
	}
	if err := d.accept(); err != nil {
		return nil, err
	}
	var err error
	if d.servers, err = startServers(c, d.Executions, seed); err != nil {
		return nil, err
	}
	for _, host := range c.Hosts {
		if err := d.StartGateway(host.Name); err != nil {
			d.Close()
			return nil, err
		}
	}
	d.balanceOverAll()
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
	_, err = d.Store.CompareAndSwap(context.Background(), control.ConfigKey(d.Config.Team), 0, data)
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
		Store:         d.Store,
		Dial:          peer.DialTCP,
		Events:        timeline.NewLog(timeline.LogOptions{Host: name, Output: events}),
		Logs:          d.logs,
		Observer:      gateway.NoObserver{},
		Tokens:        tokens,
	})
	if err != nil {
		return errors.Wrapf(err, "gateway %s", name)
	}
	d.nodes[name] = started
	return nil
}

// openEvents returns the file for the events of a host, or nil.
func (d *Deployment) openEvents(host string) (io.Writer, error) {
	if d.eventDir == "" {
		return nil, nil
	}
	flags := os.O_CREATE | os.O_APPEND | os.O_WRONLY
	file, err := os.OpenFile(filepath.Join(d.eventDir, host+".jsonl"), flags, eventFileMode)
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

func (d *Deployment) balanceOverAll() {
	var addresses []string
	for _, host := range d.Config.Hosts {
		addresses = append(addresses, host.CallerAddress)
	}
	d.Balancer.Set(addresses)
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
	for _, n := range d.nodes {
		if !n.Gateway().Serves() {
			return false
		}
	}
	return true
}

// Node returns the gateway of a host, if it runs.
func (d *Deployment) Node(host string) (*node.Node, bool) {
	n, ok := d.nodes[host]
	return n, ok
}

// KillGateway ends a gateway as a crash does. The balancer notices after a while.
func (d *Deployment) KillGateway(name string) {
	if n, ok := d.nodes[name]; ok {
		delete(d.nodes, name)
		n.Kill()
	}
}

// StopGateway is a planned stop of a gateway.
func (d *Deployment) StopGateway(ctx context.Context, name string) error {
	n, ok := d.nodes[name]
	if !ok {
		return nil
	}
	delete(d.nodes, name)
	d.Balancer.Remove(n.CallerAddress())
	return n.Shutdown(ctx)
}

// Close ends everything at once.
func (d *Deployment) Close() {
	for name := range d.nodes {
		d.KillGateway(name)
	}
	if d.servers != nil {
		d.servers.close()
	}
	for _, file := range d.files {
		_ = file.Close()
	}
}
