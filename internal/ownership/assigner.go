package ownership

import (
	"cmp"
	"slices"
	"time"
)

// Assigner maintains the ownership table of one service on the elected gateway. It is not safe for concurrent use.
type Assigner struct {
	settings  Settings
	rows      []*rowState
	nextToken Token
	// lastSeq is the sequence number of the last change to the table; recordedSeq is the last one that has been written
	// to the store.
	lastSeq     uint64
	recordedSeq uint64
	// activeHosts holds the hosts whose gateways may still act on an earlier table, with the time at which they stop.
	activeHosts map[string]time.Duration
	// terminated holds the incarnations of backend servers that are known to have terminated.
	terminated map[incarnation]bool
	// successors holds the incarnation that runs at the address of a terminated one. It receives the orders that were
	// sent to its predecessor but had not arrived, and accepts them, because it has seen no fencing token. A successor has
	// always started later.
	successors map[incarnation]Holder
}

type incarnation struct {
	id          string
	startedAtMs int64
}

func incarnationOf(holder Holder) incarnation { return incarnation{holder.ID, holder.StartedAtMs} }

// NewAssigner returns an assigner for a service that has no recorded table yet, in an era of the store.
func NewAssigner(settings Settings, era uint64) *Assigner {
	a := newAssigner(settings, firstToken(era))
	a.rows = []*rowState{{keys: Keys{First: 0, Last: settings.Keys - 1}}}
	a.markChanged(a.rows[0])
	return a
}

func newAssigner(settings Settings, nextToken Token) *Assigner {
	return &Assigner{
		settings:    settings,
		nextToken:   nextToken,
		activeHosts: make(map[string]time.Duration),
		terminated:  make(map[incarnation]bool),
		successors:  make(map[incarnation]Holder),
	}
}

func (a *Assigner) newToken() Token {
	token := a.nextToken
	a.nextToken++
	return token
}

// markChanged marks a row as changed. It must be recorded before orders about it are sent.
func (a *Assigner) markChanged(r *rowState) {
	a.lastSeq++
	r.changeSeq = a.lastSeq
}

// Table returns the table to record, and the sequence number to pass to MarkRecorded once it has been written.
func (a *Assigner) Table(now time.Duration) (*Table, uint64) {
	writer := ActiveHost{Name: a.settings.Host, Grace: a.settings.PredecessorGrace}
	table := &Table{NextToken: a.nextToken, Writer: writer.Name, Hosts: []ActiveHost{writer}}
	for host, end := range a.activeHosts {
		if now < end {
			table.Hosts = append(table.Hosts, ActiveHost{Name: host, Grace: end - now})
		}
	}
	slices.SortFunc(table.Hosts, func(a, b ActiveHost) int { return cmp.Compare(a.Name, b.Name) })
	for _, r := range a.rows {
		table.Rows = append(table.Rows, r.row(now))
	}
	return table, a.lastSeq
}

// HasUnrecordedChanges reports whether there are changes that have not been written to the store.
func (a *Assigner) HasUnrecordedChanges() bool { return a.recordedSeq < a.lastSeq }

// MarkRecorded marks all changes up to a sequence number as written to the store.
func (a *Assigner) MarkRecorded(sequence uint64) { a.recordedSeq = max(a.recordedSeq, sequence) }

// MarkUnrecorded marks the table as not written to the store, because the store came back from an earlier copy. Orders that
// were recorded before are not withheld: the next assigner knows that the history was lost.
func (a *Assigner) MarkUnrecorded() { a.lastSeq++ }

// MarkTerminated records that an incarnation of a backend server has terminated and that no other incarnation of the
// server receives orders at its address. It no longer holds any keys. A grant that is under way may still be accepted by an
// incarnation that starts at the address before it arrives.
func (a *Assigner) MarkTerminated(holder Holder) {
	a.terminated[incarnationOf(holder)] = true
	for _, r := range a.rows {
		if r.owner.SameIncarnation(holder) && r.inFlight {
			r.underWay = true
		}
		for _, g := range r.formerGrants {
			if g.holder.SameIncarnation(holder) && !g.fenceInFlight() {
				g.heldUntil = 0
			}
		}
	}
}

// MarkRestarted records that a backend server has terminated and runs again as another incarnation. If the new one has
// the same address, it may hold the keys of grants that were sent to the old one, and has to release them. An incarnation that
// has not started later is no successor; what says so is late, and is ignored.
//
// The new incarnation has not seen the tokens of this assigner. That is safe, because an earlier assigner sends no
// grants over connections made after its term, and none made before reaches the new incarnation.
func (a *Assigner) MarkRestarted(holder, successor Holder) {
	if successor.StartedAtMs <= holder.StartedAtMs {
		return
	}
	if holder.Addr != successor.Addr {
		a.MarkTerminated(holder)
		return
	}
	a.terminated[incarnationOf(holder)] = true
	a.successors[incarnationOf(holder)] = successor
	for _, r := range a.rows {
		for _, g := range r.formerGrants {
			if g.holder.SameIncarnation(holder) {
				g.holder = successor
			}
		}
	}
}

// HasTerminated reports whether the holder's incarnation is known to have terminated.
func (a *Assigner) HasTerminated(holder Holder) bool { return a.terminated[incarnationOf(holder)] }

// receiver returns the incarnation that receives the orders sent to a holder: the holder itself, or the latest one that
// has replaced it at its address. It returns false if there is none.
func (a *Assigner) receiver(holder Holder) (Holder, bool) {
	for {
		successor, restarted := a.successors[incarnationOf(holder)]
		if !restarted {
			return holder, !holder.IsZero() && !a.HasTerminated(holder)
		}
		holder = successor
	}
}

// RecordRefusal records that the owner of a key rejected a request for it, so that the grant is sent again at once.
func (a *Assigner) RecordRefusal(key int, owner string, now time.Duration) {
	for _, r := range a.rows {
		if r.keys.Contains(key) && r.owner.ID == owner && !r.moving {
			r.nextSend = min(r.nextSend, now)
		}
	}
}

// findRow returns the row with exactly these keys and this token, or nil if it has been replaced.
func (a *Assigner) findRow(keys Keys, token Token) *rowState {
	for _, r := range a.rows {
		if r.keys == keys && r.token == token {
			return r
		}
	}
	return nil
}
