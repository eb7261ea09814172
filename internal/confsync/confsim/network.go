package confsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// Network is a simulated network of gateways with a store.
type Network struct {
	Hosts []*Host

	options Options
	random  *rand.Rand
	events  *timingWheel
	byName  map[string]*Host
	cells   []*cell
	// topologyCells contains the cells as the gateways know them.
	topologyCells []confsync.Cell
	storeDown     bool
	// acceptCount is the number of accept operations started. It is used for document IDs.
	acceptCount int
}

// New returns a network and starts its gateways.
func New(options Options) *Network {
	n := &Network{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		events:  newTimingWheel(),
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
		c := &cell{name: fmt.Sprintf("z%02d-c%03d", zone, i), region: region, zone: zone, firstInZone: i == 0}
		n.cells = append(n.cells, c)
		topologyCell := confsync.Cell{Name: c.name}
		for h := range n.options.HostsPerCell {
			host := &Host{Name: fmt.Sprintf("%s-h%02d", c.name, h), Alive: true, index: int32(len(n.Hosts)), cell: c}
			c.hosts = append(c.hosts, host)
			topologyCell.Hosts = append(topologyCell.Hosts, host.Name)
			n.Hosts = append(n.Hosts, host)
			n.byName[host.Name] = host
		}
		n.topologyCells = append(n.topologyCells, topologyCell)
	}
}

// start starts a new incarnation of the gateway on host.
func (n *Network) start(host *Host) {
	host.incarnation++
	host.watchPending = false
	host.Node = confsync.New(confsync.Options{Self: host.Name, Random: n.random.IntN, Rebase: rebase})
	seeds := make([]string, 0, len(host.cell.hosts))
	for _, other := range host.cell.hosts {
		seeds = append(seeds, other.Name)
	}
	if n.options.SkipStart && n.Now() == 0 {
		entry, _ := n.options.Store.Get(background, Key)
		n.apply(host, host.Node.Accepted(0, decode(entry.Value)))
	} else {
		n.apply(host, host.Node.Start(n.Now(), seeds))
	}
	n.schedule(host, time.Duration(n.random.Int64N(int64(n.options.Tick))), event{kind: eventTick})
	n.schedule(host, time.Duration(n.random.Int64N(int64(HeartbeatInterval))), event{kind: eventHeartbeatDue})
}

// Now returns the current simulated time.
func (n *Network) Now() time.Duration { return n.events.now() }

// Random returns the random number generator of the run.
func (n *Network) Random() *rand.Rand { return n.random }

// Run processes the events of the next d of simulated time.
func (n *Network) Run(d time.Duration) {
	end := n.Now() + d
	for n.Now() < end {
		events := n.events.next()
		for i := range events {
			n.handle(&events[i])
		}
	}
}

// After runs callback after delay.
func (n *Network) After(delay time.Duration, callback func()) {
	n.events.add(delay, event{kind: eventCallback, to: -1, callback: callback})
}

func (n *Network) schedule(host *Host, delay time.Duration, e event) {
	e.to = host.index
	e.incarnation = host.incarnation
	n.events.add(delay, e)
}

func (n *Network) handle(e *event) {
	if e.kind == eventCallback {
		e.callback()
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
	case eventHeartbeatDue:
		n.schedule(host, HeartbeatInterval, event{kind: eventHeartbeatDue})
		n.sendHeartbeat(host)
	case eventHeartbeatReceived:
		n.receiveHeartbeat(host, n.Hosts[e.from], e.state)
	case eventHeartbeatReply:
		n.apply(host, host.Node.HandlePeerState(n.Now(), n.Hosts[e.from].Name, e.state))
	case eventMessage:
		n.apply(host, host.Node.Receive(n.Now(), n.Hosts[e.from].Name, e.message))
	case eventStoreRequest:
		n.handleStoreRequest(host, e.request)
	case eventStoreResult:
		n.apply(host, host.Node.HandleStoreResult(n.Now(), e.result))
	}
}

// apply performs the actions in the output of a gateway.
func (n *Network) apply(host *Host, out confsync.Output) {
	if out.InForce != nil && n.options.OnInForce != nil {
		n.options.OnInForce(host)
	}
	for _, send := range out.Messages {
		n.send(host, send)
	}
	for _, request := range out.Store {
		n.sendStoreRequest(host, request)
	}
	if out.Held != nil {
		n.apply(host, host.Node.SetTopology(n.Now(), host.topology(n.topologyCells)))
	}
}
