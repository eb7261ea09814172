// Package election implements leader election among the gateways on top of a lease in the store. Election is a state
// machine without clock, network or goroutines: the caller passes in the time, executes the store calls that NextCall
// returns and reports their results.
package election

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/looplab/fsm"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

// Key is the store key of the leader record.
const Key = "plank/leader"

// States of an election, as seen by this process.
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

// Settings holds the timing parameters of an election.
type Settings struct {
	// TTL is the duration of the leader's lease.
	TTL time.Duration
	// RenewInterval is the interval between lease renewals.
	RenewInterval time.Duration
	// OutageGrace is how long beyond the TTL a leader that cannot reach the store keeps its role. While the store is
	// unavailable to every process, no other leader can be elected.
	OutageGrace time.Duration
	// CampaignDelay is how long the leader record must be missing before this process campaigns. Different delays keep the
	// processes from campaigning all at once.
	CampaignDelay time.Duration
}

// Leader is the record that the elected process stores about itself.
type Leader struct {
	Host string `json:"host"`
	// Addr is the address on which the leader accepts messages from other processes.
	Addr string `json:"addr"`
}

// CallKind is the kind of a store call.
type CallKind int

// Kinds of store calls.
const (
	// CallCampaign creates a lease and writes the leader record under it.
	CallCampaign CallKind = iota
	// CallRenew renews the lease.
	CallRenew
	// CallWithdraw removes the leader record of an earlier process on this host, if its revision is still Revision.
	CallWithdraw
)

// Call is a store call for the caller to execute.
type Call struct {
	Kind  CallKind
	Lease kv.LeaseID
	Value []byte
	// Revision is the revision of the record to withdraw.
	Revision kv.Revision
}

// CampaignResult is the result of a successful campaign.
type CampaignResult struct {
	Term  kv.Revision
	Lease kv.LeaseID
}

// Election is the election state of one process. Times are read from a clock that keeps running while the machine is
// suspended.
type Election struct {
	settings Settings
	self     Leader
	machine  *fsm.FSM
	// leader is the last observed leader record; leaderRevision is its creation revision, or 0 if there is no leader.
	leader         Leader
	leaderRevision kv.Revision
	// absentSince is when the leader record was first seen missing. observed is false until the store has been read
	// once.
	absentSince time.Duration
	observed    bool

	term         kv.Revision
	lease        kv.LeaseID
	callInFlight bool
	nextRenewal  time.Duration
	confirmedAt  time.Duration
	// nextWithdrawal is the earliest time of the next attempt to withdraw a record.
	nextWithdrawal time.Duration
}

// New returns an election in the following state.
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

// State returns the current state, one of the State constants.
func (e *Election) State() string { return e.machine.Current() }

// Term returns the store revision at which this process was last elected.
func (e *Election) Term() kv.Revision { return e.term }

// Lease returns the lease under which this process was last elected.
func (e *Election) Lease() kv.LeaseID { return e.lease }

// Leader returns the current leader record and whether there is one.
func (e *Election) Leader() (Leader, bool) { return e.leader, e.leaderRevision > 0 }

// Observe processes the leader record as read at a store revision. created is the revision at which the record was
// created, or 0 if there is no record.
func (e *Election) Observe(now time.Duration, revision, created kv.Revision, value []byte) error {
	if e.State() == StateLeading && revision <= e.term {
		// The local copy of the store has not caught up with the revision of this election yet.
		return nil
	}
	var leader Leader
	if created > 0 {
		if err := json.Unmarshal(value, &leader); err != nil {
			return errors.Wrap(err, "decode leader record; waiting for its lease to expire")
		}
	}
	if created == 0 && (e.leaderRevision > 0 || !e.observed) {
		e.absentSince = now
	}
	e.observed = true
	e.leader, e.leaderRevision = leader, created
	if e.State() == StateLeading && created != e.term {
		// The lease has expired, even if this process went on renewing it.
		e.transition(eventLose)
	}
	return nil
}

// NextCall returns the store call that is due, if any.
func (e *Election) NextCall(now time.Duration) (Call, bool) {
	switch e.State() {
	case StateFollowing:
		if call, due := e.withdrawal(now); due {
			return call, true
		}
		if !e.observed || e.leaderRevision > 0 || e.callInFlight || now-e.absentSince < e.settings.CampaignDelay {
			return Call{}, false
		}
		e.transition(eventCampaign)
		e.callInFlight = true
		value, err := json.Marshal(e.self)
		if err != nil {
			e.transition(eventLose)
			return Call{}, false
		}
		return Call{Kind: CallCampaign, Value: value}, true
	case StateLeading:
		if now-e.confirmedAt > e.settings.TTL+e.settings.OutageGrace {
			e.transition(eventLose)
			return Call{}, false
		}
		if e.callInFlight || now < e.nextRenewal {
			return Call{}, false
		}
		e.callInFlight = true
		e.nextRenewal = now + e.settings.RenewInterval
		return Call{Kind: CallRenew, Lease: e.lease}, true
	}
	return Call{}, false
}

// withdrawRetryDelay is the delay after a failed attempt to withdraw a record.
const withdrawRetryDelay = 300 * time.Millisecond

// withdrawal returns the call that removes the record of an earlier process on this host, if there is one. That process
// has ended, or this one has given up its role, so nobody acts under the record.
func (e *Election) withdrawal(now time.Duration) (Call, bool) {
	if e.leaderRevision == 0 || e.leader.Host != e.self.Host || e.callInFlight || now < e.nextWithdrawal {
		return Call{}, false
	}
	e.callInFlight = true
	e.nextWithdrawal = now + withdrawRetryDelay
	return Call{Kind: CallWithdraw, Revision: e.leaderRevision}, true
}

// WithdrawalDone processes the end of a withdrawal call. Its success shows when the record is observed to be missing.
func (e *Election) WithdrawalDone() { e.callInFlight = false }

// CampaignDone processes the result of a campaign call. started is when the call was issued.
func (e *Election) CampaignDone(won CampaignResult, err error, started, now time.Duration) {
	e.callInFlight = false
	if e.State() != StateCampaigning {
		return
	}
	if err != nil {
		e.transition(eventLose)
		e.absentSince = now
		return
	}
	e.term, e.lease = won.Term, won.Lease
	e.leaderRevision, e.leader = won.Term, e.self
	e.confirmedAt = started
	e.nextRenewal = now + e.settings.RenewInterval
	e.transition(eventWin)
}

// RenewalDone processes the result of a renewal call. started is when the call was issued.
func (e *Election) RenewalDone(err error, started time.Duration) {
	e.callInFlight = false
	if e.State() != StateLeading {
		return
	}
	switch {
	case err == nil:
		e.confirmedAt = started
	case errors.Is(err, kv.ErrLeaseNotFound):
		e.transition(eventLose)
	}
}

// LeaseConfirmed reports whether the store confirmed the lease within the last TTL, so that this leader may write.
func (e *Election) LeaseConfirmed(now time.Duration) bool {
	return e.State() == StateLeading && now < e.ConfirmedUntil()
}

// ConfirmedUntil returns the end of the time for which the store has confirmed the lease. No other gateway can have been
// elected before then.
func (e *Election) ConfirmedUntil() time.Duration { return e.confirmedAt + e.settings.TTL }

// Resign gives up leadership on shutdown. The process does not campaign again until Observe is called.
func (e *Election) Resign() {
	if e.State() != StateFollowing {
		e.transition(eventLose)
	}
	e.observed = false
}

func (e *Election) transition(event string) {
	// The error is ignored: every requested transition is defined and there are no callbacks that could fail.
	_ = e.machine.Event(context.Background(), event)
}
