package cell

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/looplab/fsm"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Node is the control state of one gateway in its cell. It is not safe for concurrent use.
type Node struct {
	self           Member
	wallStart      time.Time
	configKey      string
	configRevision func([]byte) (uint64, error)
	random         *rand.Rand
	assign         AssignFunc
	ownership      ownershipMachine

	cell   string
	config *config.Config
	hosts  []config.Host

	role *fsm.FSM
	// pair is the newest pair that this gateway knows.
	pair Pair
	// promised is the generation below which this gateway has promised to take no authority (A8).
	promised   uint64
	promisedTo Member
	// table is the published table, which local traffic reads.
	table        *table
	acknowledged uint64

	local      *localHome
	holderLink holderLink
	holder     *holderState
	successor  *successorState
	handover   *handoverState
	recovery   recovery
	registers  map[string]*claimRegister
	store      storeCalls

	leaving          bool
	snapshot         *Snapshot
	snapshotOutdated bool
	out              Output
	counters         Counters
	faults           faults
}

// NewNode returns the node of a process that has just started.
func NewNode(c NodeConfig) *Node {
	if c.Assign == nil {
		c.Assign = AssignEvenly
	}
	n := &Node{
		self:           Member{Host: c.Host, Incarnation: c.Incarnation},
		wallStart:      c.WallStart,
		configKey:      c.ConfigKey,
		configRevision: c.ConfigRevision,
		random:         c.Random,
		assign:         c.Assign,
		ownership:      newOwnershipMachine(),
		role:           newRoleMachine(),
		table:          newTable(),
		local:          newLocalHome(),
		registers:      make(map[string]*claimRegister),
		store:          newStoreCalls(),
		snapshot:       &Snapshot{Role: RoleStarting},
	}
	return n
}

// Role returns the role of this gateway in the cell.
func (n *Node) Role() Role { return Role(n.role.Current()) }

// Cell returns the name of this gateway's cell, or "" before the first configuration.
func (n *Node) Cell() string { return n.cell }

// Pair returns the newest pair that this gateway knows.
func (n *Node) Pair() Pair { return n.pair }

// Snapshot returns the current view of the cell. It is immutable.
func (n *Node) Snapshot() *Snapshot { return n.snapshot }

// Counters returns the control traffic of this node since its start.
func (n *Node) Counters() Counters { return n.counters }

// Acting reports whether this gateway may act as the authority of the cell at now (A1).
func (n *Node) Acting(now time.Duration) bool {
	if n.holder == nil {
		return false
	}
	return now < n.holder.authorityEnd || n.faults.actAfterLease
}

// HasLeft reports whether a leaving gateway has handed over its homes and its authority.
func (n *Node) HasLeft() bool {
	if !n.leaving || n.holder != nil || n.successor != nil && n.successor.claim != nil {
		return false
	}
	for _, entry := range n.table.servers {
		if entry.home == n.self {
			return false
		}
	}
	return n.handover == nil
}

// Tick runs the timed work that is due at now. It must be called at least once per TickInterval.
func (n *Node) Tick(now time.Duration) Output {
	if n.config != nil && n.Role() != RoleStopped {
		n.tickStore(now)
		n.tickHolderLink(now)
		n.tickHandover(now)
		n.tickSuccessor(now)
		n.tickHolder(now)
		n.tickRecovery(now)
	}
	return n.finish(now)
}

// Receive handles a message from the gateway on host from.
func (n *Node) Receive(now time.Duration, from string, m *wire.Control) Output {
	n.counters.ReceivedMessages++
	n.counters.ReceivedBytes += uint64(proto.Size(m) + frameOverhead)
	if n.config == nil || n.Role() == RoleStopped || m.ToIncarnation != 0 && m.ToIncarnation != n.self.Incarnation {
		return n.finish(now)
	}
	n.dispatch(now, Member{Host: from, Incarnation: m.FromIncarnation}, m)
	return n.finish(now)
}

func (n *Node) dispatch(now time.Duration, from Member, m *wire.Control) {
	epoch := Epoch{Generation: m.Generation, Term: m.Term}
	switch body := m.Body.(type) {
	case *wire.Control_Heartbeat:
		n.onHeartbeat(now, from, epoch, body.Heartbeat)
	case *wire.Control_HeartbeatReply:
		n.onHeartbeatReply(now, from, epoch, body.HeartbeatReply)
	case *wire.Control_Renew:
		n.onRenew(now, from, epoch, body.Renew)
	case *wire.Control_RenewAck:
		n.onRenewAck(now, from, epoch, body.RenewAck)
	case *wire.Control_Claim:
		n.onClaim(from, epoch, body.Claim)
	case *wire.Control_Decision:
		n.onDecision(now, from, epoch, body.Decision)
	case *wire.Control_Handover:
		n.onHandover(now, from, epoch)
	case *wire.Control_Locate:
		n.onLocate(from)
	case *wire.Control_Located:
		n.onLocated(now, pairFromWire(body.Located.Pair))
	case *wire.Control_Poll:
		n.onPoll(now, from, m.Revision, body.Poll)
	case *wire.Control_PollAnswer:
		n.onPollAnswer(now, from, body.PollAnswer)
	case *wire.Control_RightsQuery:
		n.onRightsQuery(now, from, m.Revision, body.RightsQuery)
	case *wire.Control_RightsAnswer:
		n.onRightsAnswer(now, body.RightsAnswer)
	case *wire.Control_Probe:
		n.send(from, &wire.Control{Body: &wire.Control_ProbeAnswer{ProbeAnswer: &wire.ProbeAnswer{}}})
	case *wire.Control_ProbeAnswer:
		n.onProbeAnswer(now, from)
	}
}

// Configure applies a configuration. One with a smaller revision than the current one is ignored (I8).
func (n *Node) Configure(now time.Duration, c *config.Config) Output {
	if n.config != nil && c.Revision < n.config.Revision {
		return n.finish(now)
	}
	n.config = c
	host, ok := c.Host(n.self.Host)
	if ok && n.cell == "" {
		n.cell = host.Cell
	}
	// A gateway whose host was removed or moved to another cell leaves; after a restart it joins the new cell.
	if n.cell != "" && (!ok || host.Cell != n.cell) {
		n.leaving = true
	}
	n.hosts = c.CellHosts(n.cell)
	if n.holder != nil {
		n.holder.planDue = true
	}
	return n.finish(now)
}

// Report records what the local homes observed.
func (n *Node) Report(now time.Duration, r Report) Output {
	changed, urgent := n.local.applyReport(now, r, n.table, n.self)
	n.snapshotOutdated = n.snapshotOutdated || changed
	n.updateSnapshot()
	n.holderLink.reportDue = n.holderLink.reportDue || urgent
	n.sendUrgent(now)
	return n.finish(now)
}

// Leave starts the planned stop of this gateway. HasLeft reports when it is complete.
func (n *Node) Leave(now time.Duration) Output {
	n.leaving = true
	if n.holder != nil {
		n.holder.planDue = true
	}
	n.sendHeartbeat(now)
	return n.finish(now)
}

// Stop ends all roles of this gateway and its home lease at once.
func (n *Node) Stop(now time.Duration) Output {
	n.fire(eventStop)
	n.holder, n.successor, n.handover = nil, nil, nil
	n.local.leaseEnd = min(n.local.leaseEnd, now)
	n.snapshotOutdated = true
	return n.finish(now)
}

func (n *Node) finish(now time.Duration) Output {
	if n.holder != nil {
		n.commitAndPublish(now)
	}
	n.updateSnapshot()
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) fire(event string) {
	if err := fire(n.role, event); err != nil {
		n.event("cell/invalid-transition", "", err.Error())
		return
	}
	n.snapshotOutdated = true
}

func (n *Node) event(kind timeline.Kind, server, detail string) {
	n.out.Events = append(n.out.Events, timeline.Event{Kind: kind, Host: n.self.Host, Cell: n.cell, Server: server, Detail: detail})
}

// send queues m for one process, with the epoch of the newest pair that this gateway knows.
func (n *Node) send(to Member, m *wire.Control) {
	n.sendAs(to, n.pair.Epoch, m)
}

func (n *Node) sendAs(to Member, epoch Epoch, m *wire.Control) {
	if to.Host == n.self.Host || to.Host == "" {
		return
	}
	m.FromIncarnation = n.self.Incarnation
	m.ToIncarnation = to.Incarnation
	m.Revision = n.config.Revision
	m.Generation, m.Term = epoch.Generation, epoch.Term
	n.out.Messages = append(n.out.Messages, OutgoingMessage{To: to.Host, Message: m})
	n.counters.SentMessages++
	n.counters.SentBytes += uint64(proto.Size(m) + frameOverhead)
}

// sendToCell queues a message for each other configured gateway of the cell.
func (n *Node) sendToCell(build func() *wire.Control) {
	for _, host := range n.hosts {
		n.send(Member{Host: host.Name}, build())
	}
}

func (n *Node) isConfigured(host string) bool {
	return slices.ContainsFunc(n.hosts, func(h config.Host) bool { return h.Name == host })
}

func (n *Node) rack(host string) string {
	for _, h := range n.hosts {
		if h.Name == host && h.Rack != "" {
			return h.Rack
		}
	}
	return host
}
