package ownership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

var historySettings = Settings{
	Keys:             12,
	GrantDuration:    4 * time.Second,
	RenewInterval:    time.Second,
	RetryInterval:    150 * time.Millisecond,
	OrderTimeout:     500 * time.Millisecond,
	OrderLifetime:    8 * time.Second,
	PredecessorGrace: 6 * time.Second,
}

const (
	tickInterval = 25 * time.Millisecond
	// maxLateness limits how long after its arrival an order without a response may take effect.
	maxLateness = 12 * time.Second
	// never is a time after the end of every history.
	never = time.Duration(1 << 62)
)

// scheduledEvent is an action to run at a simulated time.
type scheduledEvent struct {
	at time.Duration
	do func()
}

// simProcess is a simulated gateway that is the elected one, or still acts as if it were.
type simProcess struct {
	assigner *Assigner
	revision int
	writing  bool
	// renewsUntil is when a process that has been replaced stops sending orders.
	renewsUntil time.Duration
	// era is the era in which the process writes.
	era uint64
	// replacedAt is when another process was elected. Grants sent to servers that started later do not arrive.
	replacedAt time.Duration
	// follower is what the process knows of the servers, if the history has entries.
	follower *follower
}

// history is one randomized simulation.
type history struct {
	random   *rand.Rand
	now      time.Duration
	servers  []*simServer
	table    *Table
	revision int
	// term identifies the elected process.
	term      int
	processes map[int]*simProcess
	events    []scheduledEvent
	// faultRate is the probability with which orders, writes and responses are lost or delayed.
	faultRate float64
	// era is the era of the store, and copied an earlier table, to which it may go back if restores is set. last is the
	// last table that was recorded in any era, as gateways know it that only route requests.
	era          uint64
	copied, last *Table
	restores     bool
	// holdsBack is true if an order that is under way at the end of its process may arrive up to Settings.OrderLifetime later.
	holdsBack bool
	// sameAddress is true if a restarted server receives the orders for its former incarnations.
	sameAddress bool
	// entries is the store of the servers' entries, from which the processes learn of restarts. Without it, they are told.
	entries *entryStore
}

func (h *history) schedule(wait time.Duration, do func()) {
	h.events = append(h.events, scheduledEvent{at: h.now + wait, do: do})
}

func (h *history) faultOccurs() bool { return h.random.Float64() < h.faultRate }

func (h *history) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(h.random.Int64N(int64(limit)))
}

// elect starts a new process as the elected one. Its predecessor may go on sending renewals for up to
// Settings.PredecessorGrace.
func (h *history) elect() {
	if old := h.processes[h.term]; old != nil {
		old.renewsUntil = h.now + h.randomDelay(historySettings.PredecessorGrace)
		old.replacedAt = h.now
	}
	h.term++
	process := &simProcess{revision: h.revision, renewsUntil: never, era: h.era, replacedAt: never}
	settings := historySettings
	settings.Host = hostOf(h.term)
	switch {
	case h.table == nil:
		process.assigner = NewAssigner(settings, h.era)
	case h.table.Era != h.era:
		process.assigner = h.continueRestored(settings)
	default:
		process.assigner = NewAssignerFromTable(settings, h.table, h.now)
	}
	h.processes[h.term] = process
	if h.entries != nil {
		process.follower = newFollower(h.now, h.entries)
	}
}

// hostOf returns the host of an elected process. Every process has its own host.
func hostOf(term int) string { return fmt.Sprint("h", term) }

// record writes the table of a process to the store. The store may execute the write later if its preconditions still
// hold.
func (h *history) record(term int, p *simProcess) {
	if p.writing || !p.assigner.HasUnrecordedChanges() {
		return
	}
	p.writing = true
	table, sequence := p.assigner.Table(h.now)
	table.Era = p.era
	value, err := table.Encode()
	if err != nil {
		panic(err)
	}
	expectedRevision, era := p.revision, p.era
	write := func() bool {
		if h.term != term || h.revision != expectedRevision {
			return false
		}
		decoded, err := DecodeTable(value, historySettings.Keys)
		if err != nil {
			panic(err)
		}
		h.table, h.last = decoded, withoutFormer(decoded)
		h.revision++
		return true
	}
	if h.faultOccurs() {
		// The response is lost: the process reads the current revision and writes again.
		if h.faultOccurs() {
			h.schedule(h.randomDelay(maxLateness), func() { write() })
		} else {
			write()
		}
		h.schedule(200*time.Millisecond, func() { p.writing, p.revision = false, h.revision })
		return
	}
	h.schedule(10*time.Millisecond, func() {
		p.writing = false
		if write() && era == p.era {
			p.assigner.MarkRecorded(sequence)
		}
		p.revision = h.revision
	})
}

func (h *history) server(holder Holder) *simServer {
	i := slices.IndexFunc(h.servers, func(s *simServer) bool { return s.holder.SameIncarnation(holder) })
	return h.servers[i]
}

// receiver returns the running server that receives orders for a holder, or nil if there is none.
func (h *history) receiver(holder Holder) *simServer {
	i := slices.IndexFunc(h.servers, func(s *simServer) bool {
		if h.entries != nil {
			return s.up && s.holder.Addr == holder.Addr
		}
		if h.sameAddress {
			return s.up && s.holder.ID == holder.ID
		}
		return s.up && s.holder.SameIncarnation(holder)
	})
	if i < 0 {
		return nil
	}
	return h.servers[i]
}

// send delivers an order, unless the order or its response is lost.
func (h *history) send(p *simProcess, order Order) {
	respond := func(handover string, err error) {
		h.schedule(0, func() {
			p.assigner.HandleResult(Result{Order: order, Err: err, Answer: Answer{Handover: handover}, At: h.now})
		})
	}
	timeout := func() {
		h.schedule(historySettings.OrderTimeout, func() {
			p.assigner.HandleResult(Result{Order: order, Err: ErrOutcomeUnknown, At: h.now})
		})
	}
	if requestFaulty := h.faultOccurs(); requestFaulty && h.faultOccurs() {
		timeout()
		return
	}
	responseLost := h.faultOccurs()
	if responseLost {
		timeout()
	}
	delay := h.randomDelay(historySettings.OrderTimeout)
	h.scheduleArrival(p, delay, func() {
		handover, err := h.execute(p, order, responseLost)
		if responseLost {
			return
		}
		if h.entries == nil || !h.faultOccurs() {
			respond(handover, err)
			return
		}
		// The order arrives twice, and is answered after its second copy.
		h.schedule(h.randomDelay(historySettings.OrderTimeout-delay), func() { respond(h.execute(p, order, false)) })
	})
}

// scheduleArrival schedules the arrival of an order of a process.
func (h *history) scheduleArrival(p *simProcess, delay time.Duration, arrive func()) {
	if end := p.renewsUntil; h.holdsBack && h.now+delay > end && h.random.IntN(2) == 0 {
		delay = end - h.now + h.randomDelay(historySettings.OrderLifetime)
	}
	h.schedule(delay, arrive)
}

// execute runs an order on its backend server. A grant whose response is lost may take effect later; its duration
// still counts from its arrival.
func (h *history) execute(p *simProcess, order Order, responseLost bool) (string, error) {
	if order.Kind == OrderRelease {
		s := h.receiver(order.Release.Server)
		if s == nil {
			return "", ErrOutcomeUnknown
		}
		s.revoke(order.Release.Keys)
		return fmt.Sprint("state of ", order.Release.Keys), nil
	}
	grant := order.Grant
	s := h.receiver(grant.Server)
	if s == nil || s.startedAt > p.replacedAt {
		return "", ErrNotSent
	}
	if s.hasSeenHigherToken(grant.Keys, grant.Token) {
		return "", ErrStaleToken
	}
	held := heldGrant{keys: grant.Keys, token: grant.Token, until: h.now + grant.Duration + grant.Duration/50}
	if responseLost && h.faultOccurs() {
		h.schedule(h.randomDelay(maxLateness), func() {
			if h.now < held.until {
				s.apply(held)
			}
		})
		return "", nil
	}
	s.apply(held)
	return "", nil
}

// randomAction elects a new process, restarts a server or, most often, moves keys.
func (h *history) randomAction() {
	if h.restores {
		switch h.random.IntN(16) {
		case 0:
			h.restore()
			return
		case 1, 2:
			h.copied = h.table
			return
		}
	}
	p := h.processes[h.term]
	switch h.random.IntN(12) {
	case 0:
		h.elect()
	case 1:
		s := h.servers[h.random.IntN(len(h.servers))]
		if s.up {
			h.restart(s)
		}
	default:
		h.moveRandomRange(p)
	}
}

// restart replaces a server by a new incarnation. Each assigner is told of it with a probability of one half.
func (h *history) restart(s *simServer) {
	if h.entries != nil {
		h.restartWithEntry(s)
		return
	}
	s.up = false
	replacement := &simServer{
		holder:        Holder{ID: s.holder.ID, StartedAtMs: s.holder.StartedAtMs + 1, Addr: s.holder.Addr},
		up:            true,
		startedAt:     h.now,
		highestTokens: make(map[int]Token),
	}
	if !h.sameAddress {
		replacement.holder.Addr += "'"
	}
	h.servers = append(h.servers, replacement)
	for _, term := range slices.Sorted(maps.Keys(h.processes)) {
		if p := h.processes[term]; h.random.IntN(2) == 0 {
			p.assigner.MarkRestarted(s.holder, replacement.holder)
		}
	}
}

// moveRandomRange moves a random part of a random row to a random running server.
func (h *history) moveRandomRange(p *simProcess) {
	table, _ := p.assigner.Table(h.now)
	row := table.Rows[h.random.IntN(len(table.Rows))]
	first := row.First + h.random.IntN(row.Count())
	keys := Keys{First: first, Last: first + h.random.IntN(row.Last-first+1)}
	if row.Moving {
		keys = row.Keys
	}
	to, ok := h.moveTarget(p)
	if !ok {
		return
	}
	p.assigner.Apply([]Move{{Keys: keys, To: to}}, h.now)
	p.assigner.RefreshRows(6)
}

// moveTarget returns a server to which a process may move keys: a running one, or one that it takes for running.
func (h *history) moveTarget(p *simProcess) (Holder, bool) {
	if h.entries == nil {
		return h.randomUpServer(), true
	}
	candidates := p.candidates()
	if len(candidates) == 0 {
		return Holder{}, false
	}
	return candidates[h.random.IntN(len(candidates))], true
}

func (h *history) randomUpServer() Holder {
	for {
		if s := h.servers[h.random.IntN(len(h.servers))]; s.up {
			return s.holder
		}
	}
}

// advance runs one tick of the simulation and returns an error if a key has more than one owner.
func (h *history) advance() error {
	h.now += tickInterval
	due := h.events
	h.events = nil
	for _, d := range due {
		if d.at > h.now {
			h.events = append(h.events, d)
			continue
		}
		d.do()
	}
	if h.entries != nil {
		h.advanceEntries()
	}
	for _, term := range slices.Sorted(maps.Keys(h.processes)) {
		p := h.processes[term]
		if h.now > p.renewsUntil {
			delete(h.processes, term)
			if h.random.IntN(3) > 0 {
				h.processes[h.term].assigner.HostStopped(hostOf(term), h.now)
			}
			continue
		}
		h.record(term, p)
		for _, order := range p.assigner.DueOrders(h.now) {
			h.send(p, order)
		}
	}
	return h.checkSingleOwner()
}
