package ownership

import (
	"slices"
	"time"
)

// Assigner owns the ownership table of one service while its process is the elected one. It is not safe for
// concurrent use.
type Assigner struct {
	settings Settings
	rows     []*rowState
	next     Token
	// sequence counts changes; recorded is the last one that the store has.
	sequence uint64
	recorded uint64
	// acting holds the hosts whose gateways may still act on an earlier table.
	acting map[string]bool
	// ended holds lives of backend servers that are known to be over.
	ended map[life]bool
}

type life struct {
	id   string
	born int64
}

// NewAssigner returns an assigner of a service of which nothing was ever recorded.
func NewAssigner(settings Settings) *Assigner {
	a := &Assigner{settings: settings, next: 1, ended: make(map[life]bool), acting: make(map[string]bool)}
	a.rows = []*rowState{{keys: Keys{First: 0, Last: settings.Keys - 1}}}
	a.change(a.rows[0])
	return a
}

// NewAssignerFromTable returns an assigner that goes on from a recorded table. Each row gets a new token, which ends what an
// earlier assigner can still renew once the owner has seen it, and its keys stay with their owner.
func NewAssignerFromTable(settings Settings, table *Table, now time.Duration) *Assigner {
	a := &Assigner{settings: settings, next: table.NextToken, ended: make(map[life]bool), acting: make(map[string]bool)}
	for _, host := range table.Hosts {
		a.acting[host] = true
	}
	// An earlier assigner acts on what it has recorded: it may renew the owners for a while, but no former holders.
	renewed := now + settings.PredecessorGrace + settings.OrderTimeout + settings.heldFor()
	sent := now + settings.OrderTimeout + settings.heldFor()
	for _, row := range table.Rows {
		state := &rowState{keys: row.Keys, owner: row.Owner, moving: row.Moving}
		if !row.Owner.IsZero() {
			state.heldUntil, state.unsettledUntil = renewed, renewed
			state.inherited = true
		}
		for _, former := range row.Former {
			end := sent
			if former.Unfenced {
				end = renewed
			}
			state.guards = append(state.guards, &guard{
				holder: former.Holder, token: former.Token, heldUntil: end, unsettledUntil: end, unfenced: former.Unfenced,
			})
		}
		state.token = a.newToken()
		a.change(state)
		a.rows = append(a.rows, state)
	}
	// The process of an earlier election on this host has ended, or this is it.
	a.HostStopped(settings.Host, now)
	return a
}

// HostStopped notes that the gateway of a host no longer acts on an earlier table. What it sent may still arrive. Once that
// holds for all hosts, keys are free as soon as what was sent has run out.
func (a *Assigner) HostStopped(host string, now time.Duration) {
	if !a.acting[host] {
		return
	}
	delete(a.acting, host)
	if len(a.acting) > 0 {
		return
	}
	end := now + a.settings.OrderTimeout + a.settings.heldFor()
	for _, r := range a.rows {
		if r.inherited {
			r.heldUntil, r.unsettledUntil = min(r.heldUntil, end), min(r.unsettledUntil, end)
		}
		for _, g := range r.guards {
			if g.unfenced {
				g.heldUntil, g.unsettledUntil = min(g.heldUntil, end), min(g.unsettledUntil, end)
			}
		}
	}
}

func (a *Assigner) newToken() Token {
	token := a.next
	a.next++
	return token
}

// change notes that a row has to be recorded before orders about it are sent.
func (a *Assigner) change(r *rowState) {
	a.sequence++
	r.changed = a.sequence
}

// Table returns the table to record and the sequence number to report once it is recorded.
func (a *Assigner) Table(now time.Duration) (*Table, uint64) {
	table := &Table{NextToken: a.next, Hosts: []string{a.settings.Host}}
	for host := range a.acting {
		table.Hosts = append(table.Hosts, host)
	}
	slices.Sort(table.Hosts)
	for _, r := range a.rows {
		table.Rows = append(table.Rows, r.row(now))
	}
	return table, a.sequence
}

// HasUnrecordedChanges reports whether there are changes that the store does not have.
func (a *Assigner) HasUnrecordedChanges() bool { return a.recorded < a.sequence }

// MarkRecorded notes that the store has all changes up to a sequence number.
func (a *Assigner) MarkRecorded(sequence uint64) { a.recorded = max(a.recorded, sequence) }

// MarkTerminated notes that a life of a backend server is over, so that it holds nothing any more.
func (a *Assigner) MarkTerminated(holder Holder) {
	a.ended[life{holder.ID, holder.Born}] = true
	for _, r := range a.rows {
		for _, g := range r.guards {
			if g.holder.SameIncarnation(holder) {
				g.heldUntil = 0
			}
		}
	}
}

// HasTerminated reports whether a holder's life is known to be over.
func (a *Assigner) HasTerminated(holder Holder) bool { return a.ended[life{holder.ID, holder.Born}] }

// Refused notes that the owner of a key refused a request about it, so that its grant is sent again.
func (a *Assigner) Refused(key int, owner string, now time.Duration) {
	for _, r := range a.rows {
		if r.keys.Contains(key) && r.owner.ID == owner && !r.moving {
			r.nextSend = min(r.nextSend, now)
		}
	}
}

// findRow returns the row with exactly these keys and token, or nil if it was replaced.
func (a *Assigner) findRow(keys Keys, token Token) *rowState {
	for _, r := range a.rows {
		if r.keys == keys && r.token == token {
			return r
		}
	}
	return nil
}
