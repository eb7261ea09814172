package controlcost

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

const (
	// latencyMin and latencySpread define the one-way latency of a message within a region: uniform from latencyMin up
	// to their sum.
	latencyMin    = 500 * time.Microsecond
	latencySpread = 2 * time.Millisecond
	// storeLatency is the duration of a call to the store.
	storeLatency = 4 * time.Millisecond
)

// fleet simulates a set of cells and their store.
type fleet struct {
	scheduler
	config  *config.Config
	random  *rand.Rand
	store   *store.MemoryStore
	members map[string]*member
	// ordered holds the members in the order of the configuration.
	ordered []*member
	// costs holds the costs of each role since the last reset.
	costs [roleCount]cost
	// reportHealth makes homes include the health of each server in every report, as gateways do; otherwise they report
	// load only.
	reportHealth bool
	// replaced counts the replaced gateways, leaveTimeouts those that did not leave within leaveTimeout.
	replaced, leaveTimeouts int
}

func newFleet(seed uint64, c *config.Config, reportHealth bool) *fleet {
	f := &fleet{
		config:       c,
		random:       rand.New(rand.NewPCG(seed, 7)),
		store:        store.NewMemoryStore(store.SystemClock{}),
		members:      make(map[string]*member),
		reportHealth: reportHealth,
	}
	for _, host := range c.Hosts {
		m := newMember(f, host.Name)
		f.members[host.Name] = m
		f.ordered = append(f.ordered, m)
		m.start()
	}
	return f
}

func (f *fleet) resetCosts() { f.costs = [roleCount]cost{} }

// deliver schedules the receipt of a message after a random latency.
func (f *fleet) deliver(from, to string, message *wire.Control) {
	m, ok := f.members[to]
	if !ok {
		return
	}
	delay := latencyMin + time.Duration(f.random.Int64N(int64(latencySpread)))
	f.after(delay, func() {
		m.step(func(now time.Duration) cell.Output { return m.node.Receive(now, from, message) })
	})
}

// fleetConfig returns a configuration with the given number of hosts in cells of at most cellSize hosts.
func fleetConfig(hosts, cellSize, partitions int) *config.Config {
	c := &config.Config{Revision: 48213, Team: "team", Preference: config.PreferBalance, Zones: []config.Zone{{Name: "brno-hall"}}}
	keyed := config.Service{Name: "tracker", Keyed: true, Partitions: partitions, Fenced: true, Slots: 3, MaxRequestMillis: 400}
	pool := config.Service{Name: "dispatch", Slots: 3, MaxRequestMillis: 400}
	cells := (hosts + cellSize - 1) / cellSize
	for i := range hosts {
		name := fmt.Sprintf("c%03d", i%cells+1)
		c.Hosts = append(c.Hosts, config.Host{
			Name: fmt.Sprintf("brno-hall-entry-%04d", i+1), Zone: "brno-hall", Cell: name, Rack: fmt.Sprintf("rack-%d", i/cells%4),
		})
		for j := range keyedServersPerHost {
			keyed.Servers = append(keyed.Servers, config.Server{Name: fmt.Sprintf("tracker-%04d-%d", i+1, j+1), Zone: "brno-hall", Cell: name})
		}
		pool.Servers = append(pool.Servers, config.Server{Name: fmt.Sprintf("dispatch-%04d", i+1), Zone: "brno-hall", Cell: name})
	}
	c.Services = []config.Service{keyed, pool}
	return c
}

// keyedServersPerHost, with one server of the other service per host, gives a ratio close to that of the example
// deployment moravia, which has 34 backend servers and 12 hosts.
const keyedServersPerHost = 2
