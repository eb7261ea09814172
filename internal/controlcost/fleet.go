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
	// latencyMin and latencySpread give the one-way time of a message, within a region.
	latencyMin    = 500 * time.Microsecond
	latencySpread = 2 * time.Millisecond
	// storeLatency is the time of a call to the store.
	storeLatency = 4 * time.Millisecond
)

// fleet is a simulated set of cells with their store.
type fleet struct {
	queue
	config  *config.Config
	random  *rand.Rand
	store   *store.MemoryStore
	members map[string]*member
	// order holds the members in the order of the configuration.
	order []*member
	// costs holds the costs since the last reset.
	costs [partCount]cost
	// allReports lets homes repeat the health of each server in each report, as gateways do; otherwise they report
	// load only.
	allReports bool
	// replaced counts the replaced gateways, stuck those that did not leave in time.
	replaced, stuck int
}

func newFleet(seed uint64, c *config.Config, allReports bool) *fleet {
	f := &fleet{
		config:     c,
		random:     rand.New(rand.NewPCG(seed, 7)),
		store:      store.NewMemoryStore(store.SystemClock{}),
		members:    make(map[string]*member),
		allReports: allReports,
	}
	for _, host := range c.Hosts {
		m := newMember(f, host.Name)
		f.members[host.Name] = m
		f.order = append(f.order, m)
		m.start()
	}
	return f
}

// reset forgets the costs so far.
func (f *fleet) reset() { f.costs = [partCount]cost{} }

// deliver carries a message.
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

// fleetConfig returns a configuration with the given number of hosts in cells of at most cellSize.
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

// keyedServersPerHost and one server of another service per host are close to the example deployments: 34 backend
// servers and 12 hosts.
const keyedServersPerHost = 2
