// Package election decides whether this process is the elected one. It is a state machine without a clock, network
// or goroutine: it asks for calls of the store and takes their results.
package election

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

// Key is the key of the elected process.
const Key = "plank/leader"

// States.
const (
	StateFollowing   = "following"
	StateCampaigning = "campaigning"
	StateLeading     = "leading"
)

const (
	eventCampaign = "campaign"
	eventWin      = "win"
	eventLose     = "lose"
)

// Settings are the times of an election.
type Settings struct {
	// TTL is how long the lease of the elected process lasts.
	TTL time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// OutageGrace is how long the elected process goes on while it cannot reach the store: nobody can be elected while
	// the store is down for all.
	OutageGrace time.Duration
	// CampaignDelay is how long this process waits before it campaigns, so that not all campaign at the same time.
	CampaignDelay time.Duration
}

// Leader is what the elected process records about itself.
type Leader struct {
	Host string `json:"host"`
	// Addr is the address for messages of other processes.
	Addr string `json:"addr"`
}

// CallKind says which call of the store is due.
type CallKind int

// Kinds of calls.
const (
	// CallCampaign makes a lease and records this process under it.
	CallCampaign CallKind = iota
	// CallRenew renews the lease.
	CallRenew
)

// Call is a call of the store to do.
type Call struct {
	Kind  CallKind
	Lease kv.LeaseID
	Value []byte
}

// CampaignResult is the result of a campaign that succeeded.
type CampaignResult struct {
	Term  kv.Revision
	Lease kv.LeaseID
}

// Election is the state of one process. Time counts through suspensions of the machine.
type Election struct {
	settings Settings
	self     Leader
	machine  *fsm.FSM
	// leader is the recorded process, if there is one.
	leader  Leader
	current kv.Revision
	// absentSince is when the record was last seen to be missing; known is false until the store was read.
	absentSince time.Duration
	known       bool

	term      kv.Revision
	lease     kv.LeaseID
	calling   bool
	nextKeep  time.Duration
	confirmed time.Duration
}

// New returns the state of a process that follows.
func New(settings Settings, self Leader) *Election {
	return &Election{
		settings: settings,
		self:     self,
		machine: fsm.NewFSM(StateFollowing, fsm.Events{
			{Name: eventCampaign, Src: []string{StateFollowing}, Dst: StateCampaigning},
			{Name: eventWin, Src: []string{StateCampaigning}, Dst: StateLeading},
			{Name: eventLose, Src: []string{StateCampaigning, StateLeading}, Dst: StateFollowing},
		}, fsm.Callbacks{}),
	}
}

// State returns the state.
func (e *Election) State() string { return e.machine.Current() }

// Term returns the revision at which this process was elected.
func (e *Election) Term() kv.Revision { return e.term }

// Lease returns the lease of the elected process.
func (e *Election) Lease() kv.LeaseID { return e.lease }

// Leader returns the recorded process, if there is one.
func (e *Election) Leader() (Leader, bool) { return e.leader, e.current > 0 }

// Observe takes the record as the store had it at a revision. It was created at another one, or at 0 if there is none.
func (e *Election) Observe(now time.Duration, at, created kv.Revision, value []byte) error {
	if e.State() == StateLeading && at <= e.term {
		// The mirror has not come to the revision of the election yet.
		return nil
	}
	var leader Leader
	if created > 0 {
		if err := json.Unmarshal(value, &leader); err != nil {
			return errors.Wrap(err, "record of the elected process cannot be read; it is waited out")
		}
	}
	if created == 0 && (e.current > 0 || !e.known) {
		e.absentSince = now
	}
	e.known = true
	e.leader, e.current = leader, created
	if e.State() == StateLeading && created != e.term {
		// The lease has ended, although this process may have gone on renewing it.
		e.move(eventLose)
	}
	return nil
}

// NextCall returns the call that is due, if any.
func (e *Election) NextCall(now time.Duration) (Call, bool) {
	switch e.State() {
	case StateFollowing:
		if !e.known || e.current > 0 || e.calling || now-e.absentSince < e.settings.CampaignDelay {
			return Call{}, false
		}
		e.move(eventCampaign)
		e.calling = true
		value, err := json.Marshal(e.self)
		if err != nil {
			e.move(eventLose)
			return Call{}, false
		}
		return Call{Kind: CallCampaign, Value: value}, true
	case StateLeading:
		if now-e.confirmed > e.settings.TTL+e.settings.OutageGrace {
			e.move(eventLose)
			return Call{}, false
		}
		if e.calling || now < e.nextKeep {
			return Call{}, false
		}
		e.calling = true
		e.nextKeep = now + e.settings.RenewInterval
		return Call{Kind: CallRenew, Lease: e.lease}, true
	}
	return Call{}, false
}

// CampaignDone takes the result of a campaign that was started at a time.
func (e *Election) CampaignDone(won CampaignResult, err error, started, now time.Duration) {
	e.calling = false
	if e.State() != StateCampaigning {
		return
	}
	if err != nil {
		e.move(eventLose)
		e.absentSince = now
		return
	}
	e.term, e.lease = won.Term, won.Lease
	e.current, e.leader = won.Term, e.self
	e.confirmed = started
	e.nextKeep = now + e.settings.RenewInterval
	e.move(eventWin)
}

// RenewalDone takes the result of a renewal that was started at a time.
func (e *Election) RenewalDone(err error, started time.Duration) {
	e.calling = false
	if e.State() != StateLeading {
		return
	}
	switch {
	case err == nil:
		e.confirmed = started
	case errors.Is(err, kv.ErrLeaseNotFound):
		e.move(eventLose)
	}
}

// LeaseConfirmed reports whether the store has confirmed the lease lately, so that changes can be recorded.
func (e *Election) LeaseConfirmed(now time.Duration) bool {
	return e.State() == StateLeading && now-e.confirmed < e.settings.TTL
}

// Resign ends the leadership of a process that stops.
func (e *Election) Resign() {
	if e.State() != StateFollowing {
		e.move(eventLose)
	}
	e.known = false
}

func (e *Election) move(event string) {
	// All transitions that are asked for exist; the machine has no callbacks that could fail.
	_ = e.machine.Event(context.Background(), event)
}
