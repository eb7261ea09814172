package confsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Network is a set of simulated gateways and their store.
type Network struct {
	Hosts []*Host

	options Options
	random  *rand.Rand
	wheel   *wheel
	byName  map[string]*Host
	cells   []*cell
	// public is what gateways know of the cells.
	public    []confsync.Cell
	storeDown bool
	// accepted is the number of accepts started, for their ids.
	accepted int
}

// New returns a network whose gateways have just started.
func New(options Options) *Network {
	n := &Network{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		wheel:   newWheel(),
		byName:  make(map[string]*Host),
	}
	for region := range options.Regions {
		for zone := range options.ZonesPerRegion {
			n.addZone(region, region*options.ZonesPerRegion+zone)
		}
	}
	for _, c := range n.cells {
		c.elect()
	}
	for _, host := range n.Hosts {
		n.start(host)
	}
	return n
}

func (n *Network) addZone(region, zone int) {
	for i := range n.options.CellsPerZone {
		if n.options.MaxCells > 0 && len(n.cells) >= n.options.MaxCells {
			return
		}
		c := &cell{name: fmt.Sprintf("z%02d-c%03d", zone, i), region: region, zone: zone, first: i == 0}
		n.cells = append(n.cells, c)
		public := confsync.Cell{Name: c.name}
		for h := range n.options.HostsPerCell {
			host := &Host{Name: fmt.Sprintf("%s-h%02d", c.name, h), Alive: true, index: int32(len(n.Hosts)), cell: c}
			c.hosts = append(c.hosts, host)
			public.Hosts = append(public.Hosts, host.Name)
			n.Hosts = append(n.Hosts, host)
			n.byName[host.Name] = host
		}
		n.public = append(n.public, public)
	}
}

// start runs a fresh gateway on host.
func (n *Network) start(host *Host) {
	host.incarnation++
	host.waiting = false
	host.Node = confsync.New(confsync.Options{Self: host.Name, Random: n.random.IntN, Rebase: rebase})
	seeds := make([]string, 0, len(host.cell.hosts))
	for _, other := range host.cell.hosts {
		seeds = append(seeds, other.Name)
	}
	if n.options.Started && n.Now() == 0 {
		entry, _ := n.options.Store.Get(background, Key)
		n.apply(host, host.Node.Accepted(0, decode(entry.Value)))
	} else {
		n.apply(host, host.Node.Start(n.Now(), seeds))
	}
	n.schedule(host, time.Duration(n.random.Int64N(int64(n.options.Tick))), event{kind: eventTick})
	n.schedule(host, time.Duration(n.random.Int64N(int64(HeartbeatInterval))), event{kind: eventHeartbeat})
}

// Now returns the simulated time.
func (n *Network) Now() time.Duration { return n.wheel.now() }

// Random returns the random numbers of the run.
func (n *Network) Random() *rand.Rand { return n.random }

// Run lets time pass.
func (n *Network) Run(d time.Duration) {
	end := n.Now() + d
	for n.Now() < end {
		events := n.wheel.next()
		for i := range events {
			n.handle(&events[i])
		}
	}
}

// After runs call after delay.
func (n *Network) After(delay time.Duration, call func()) {
	n.wheel.add(delay, event{kind: eventCall, to: -1, call: call})
}

func (n *Network) schedule(host *Host, delay time.Duration, e event) {
	e.to = host.index
	e.incarnation = host.incarnation
	n.wheel.add(delay, e)
}

func (n *Network) handle(e *event) {
	if e.kind == eventCall {
		e.call()
		return
	}
	host := n.Hosts[e.to]
	if !host.Alive || host.incarnation != e.incarnation {
		return
	}
	switch e.kind {
	case eventTick:
		n.schedule(host, n.options.Tick, event{kind: eventTick})
		n.apply(host, host.Node.Tick(n.Now()))
	case eventHeartbeat:
		n.schedule(host, HeartbeatInterval, event{kind: eventHeartbeat})
		n.heartbeat(host)
	case eventHeartbeatArrives:
		n.heartbeatArrives(host, n.Hosts[e.from], e.state)
	case eventHeartbeatReply:
		n.apply(host, host.Node.PeerState(n.Now(), n.Hosts[e.from].Name, e.state))
	case eventMessage:
		n.apply(host, host.Node.Receive(n.Now(), n.Hosts[e.from].Name, e.message))
	case eventStoreRequest:
		n.storeRequest(host, e.request)
	case eventStoreResult:
		n.apply(host, host.Node.StoreResult(n.Now(), e.result))
	}
}

// apply executes the output of a gateway.
func (n *Network) apply(host *Host, out confsync.Output) {
	if out.InForce != nil && n.options.OnShow != nil {
		n.options.OnShow(host)
	}
	for _, send := range out.Messages {
		n.send(host, send)
	}
	for _, request := range out.Store {
		n.toStore(host, request)
	}
	if out.Held != nil {
		n.apply(host, host.Node.Configure(n.Now(), host.topology(n.public)))
	}
}
