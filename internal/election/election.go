// Package election implements leader election among the gateways on top of a lease in the store. Election is a state
// machine without clock, network or goroutines: the caller passes in the time, executes the store calls that NextCall
// returns and reports their results.
package election

import (
	"context"
	"encoding/json"
	"fmt"
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
	// StateReclaiming is that of a leader whose record may be lost, because the store came back from an earlier copy. It
	// goes on with what it had begun, but begins nothing new, until it finds its record or writes it again.
	StateReclaiming = "reclaiming"
)

const (
	eventCampaign = "campaign"
	eventWin      = "win"
	eventLose     = "lose"
	eventRestored = "restored"
	eventReclaim  = "reclaim"
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
	// ReclaimGrace is how long after the store was restored other processes leave it to the leader of before to reclaim its
	// record.
	ReclaimGrace time.Duration
}

// Election is the election state of one process. Times are read from a clock that keeps running while the machine is
// suspended.
type Election struct {
	settings Settings
	self     Leader
	machine  *fsm.FSM
	// leader is the last observed leader record; leaderRevision is its creation revision, or zero if there is no leader.
	leader         Leader
	leaderRevision kv.Revision
	// era is the latest era of the store, if eraKnown is set.
	era      kv.Era
	eraKnown bool
	// endedBefore is the era before which all elections but that of this process have ended. It is 0 if this process may
	// have been replaced.
	endedBefore kv.Era
	// campaignAfter is the earliest time of a campaign, as set by ObserveEra and DelayCampaign.
	campaignAfter time.Duration
	// campaigns counts the campaigns of this process.
	campaigns int
	// absentSince is when the leader record was first seen missing. observed is false until the store has been read
	// once.
	absentSince time.Duration
	observed    bool

	term         kv.Revision
	lease        kv.LeaseID
	callInFlight bool
	nextRenewal  time.Duration
	confirmedAt  time.Duration
	// nextWithdrawal and nextReclaim are the earliest times of the next attempt to withdraw or reclaim a record.
	nextWithdrawal time.Duration
	nextReclaim    time.Duration
}

// New returns an election in the following state. self.ID is a prefix of the IDs of this process's elections.
func New(settings Settings, self Leader) *Election {
	return &Election{
		settings: settings,
		self:     self,
		machine: fsm.NewFSM(StateFollowing, fsm.Events{
			{Name: eventCampaign, Src: []string{StateFollowing}, Dst: StateCampaigning},
			{Name: eventWin, Src: []string{StateCampaigning}, Dst: StateLeading},
			{Name: eventRestored, Src: []string{StateLeading, StateReclaiming}, Dst: StateReclaiming},
			{Name: eventReclaim, Src: []string{StateReclaiming}, Dst: StateLeading},
			{Name: eventLose, Src: []string{StateCampaigning, StateLeading, StateReclaiming}, Dst: StateFollowing},
		}, fsm.Callbacks{}),
	}
}

// State returns the current state, one of the State constants.
func (e *Election) State() string { return e.machine.Current() }

// Acting reports whether this process acts as the leader, with a record in the store or while it reclaims one.
func (e *Election) Acting() bool { return e.State() == StateLeading || e.State() == StateReclaiming }

// Term returns the store revision at which this process was last elected.
func (e *Election) Term() kv.Revision { return e.term }

// Lease returns the lease under which this process was last elected.
func (e *Election) Lease() kv.LeaseID { return e.lease }

// Leader returns the current leader record and whether there is one.
func (e *Election) Leader() (Leader, bool) { return e.leader, !e.leaderRevision.IsZero() }

// Observe processes the leader record as read at a store revision. created is the revision at which the record was
// created, or zero if there is no record.
func (e *Election) Observe(now time.Duration, revision, created kv.Revision, value []byte) error {
	if revision.Era < e.era || e.State() == StateLeading && !e.term.Before(revision) {
		// The local copy of the store has not caught up with the era or the revision of this election yet.
		return nil
	}
	var leader Leader
	if !created.IsZero() {
		var err error
		if leader, err = DecodeLeader(value); err != nil {
			return err
		}
	}
	if e.State() == StateReclaiming {
		e.observeReclaiming(leader, created)
		return nil
	}
	if created.IsZero() && (!e.leaderRevision.IsZero() || !e.observed) {
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

// observeReclaiming gives up the role if another process was elected.
func (e *Election) observeReclaiming(leader Leader, created kv.Revision) {
	if created.IsZero() || leader.ID == e.ownID() || leader.Ended(e.self.Host, e.endedBefore) {
		return
	}
	e.transition(eventLose)
	e.leader, e.leaderRevision = leader, created
}

// ObserveEra processes the era of the store. unbroken is true if this process, as the leader, knows that it was not
// replaced before the store was restored. It reports whether the store came back from an earlier copy since the last call.
func (e *Election) ObserveEra(now time.Duration, era kv.Era, unbroken bool) bool {
	if e.eraKnown && era <= e.era {
		return false
	}
	restored := e.eraKnown
	e.era, e.eraKnown = era, true
	if !restored {
		return false
	}
	e.DelayCampaign(now + e.settings.ReclaimGrace)
	e.endedBefore = 0
	if unbroken {
		e.endedBefore = era
	}
	if e.Acting() {
		e.transition(eventRestored)
	}
	return true
}

// DelayCampaign sets the earliest time of the next campaign, unless a later one is set.
func (e *Election) DelayCampaign(until time.Duration) { e.campaignAfter = max(e.campaignAfter, until) }

// Era returns the latest known era of the store.
func (e *Election) Era() kv.Era { return e.era }

// ownID returns the ID of the latest election of this process.
func (e *Election) ownID() string { return fmt.Sprintf("%s-%d", e.self.ID, e.campaigns) }

// record returns the leader record of the latest election of this process.
func (e *Election) record() Leader {
	record := e.self
	record.ID, record.Era = e.ownID(), e.era
	return record
}

// NextCall returns the store call that is due, if any.
func (e *Election) NextCall(now time.Duration) (Call, bool) {
	switch e.State() {
	case StateFollowing:
		if call, due := e.withdrawal(now); due {
			return call, true
		}
		if !e.observed || !e.leaderRevision.IsZero() || e.callInFlight || now < e.campaignAfter ||
			now-e.absentSince < e.settings.CampaignDelay {
			return Call{}, false
		}
		e.transition(eventCampaign)
		e.campaigns++
		return e.callWithRecord(Call{Kind: CallCampaign})
	case StateLeading, StateReclaiming:
		if now-e.confirmedAt > e.settings.TTL+e.settings.OutageGrace {
			e.transition(eventLose)
			return Call{}, false
		}
		if e.callInFlight {
			return Call{}, false
		}
		if e.State() == StateReclaiming {
			return e.reclaim(now)
		}
		if now < e.nextRenewal {
			return Call{}, false
		}
		e.callInFlight = true
		e.nextRenewal = now + e.settings.RenewInterval
		return Call{Kind: CallRenew, Lease: e.lease}, true
	}
	return Call{}, false
}

// callWithRecord completes a call that may write the leader record of this process.
func (e *Election) callWithRecord(call Call) (Call, bool) {
	value, err := json.Marshal(e.record())
	if err != nil {
		e.transition(eventLose)
		return Call{}, false
	}
	e.callInFlight = true
	call.Value = value
	return call, true
}

// reclaimRetryDelay is the delay after a failed attempt to reclaim a record.
const reclaimRetryDelay = 150 * time.Millisecond

// reclaim returns the call that finds or restores the record of this process, if it is due.
func (e *Election) reclaim(now time.Duration) (Call, bool) {
	if now < e.nextReclaim {
		return Call{}, false
	}
	e.nextReclaim = now + reclaimRetryDelay
	return e.callWithRecord(Call{Kind: CallReclaim, Lease: e.lease, ID: e.ownID(), EndedBefore: e.endedBefore})
}

// withdrawRetryDelay is the delay after a failed attempt to withdraw a record.
const withdrawRetryDelay = 300 * time.Millisecond

// withdrawal returns the call that removes the record of an earlier process on this host, if there is one. That process
// has ended, or this one has given up its role, so nobody acts under the record.
func (e *Election) withdrawal(now time.Duration) (Call, bool) {
	if e.leaderRevision.IsZero() || e.leader.Host != e.self.Host || e.callInFlight || now < e.nextWithdrawal {
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
	if err != nil || won.Term.Era < e.era {
		e.transition(eventLose)
		e.absentSince = now
		return
	}
	e.lead(won, started, now, eventWin)
}

// lead begins or resumes the role with a record in the store.
func (e *Election) lead(won CampaignResult, started, now time.Duration, event string) {
	e.era, e.eraKnown = max(e.era, won.Term.Era), true
	e.term, e.lease = won.Term, won.Lease
	e.leaderRevision, e.leader = won.Term, e.record()
	e.confirmedAt = started
	e.nextRenewal = now + e.settings.RenewInterval
	e.transition(event)
}

// ReclaimDone processes the result of a reclaim call. started is when the call was issued. kv.ErrConflict means that
// another process was elected since the store was restored.
func (e *Election) ReclaimDone(won CampaignResult, err error, started, now time.Duration) {
	e.callInFlight = false
	if e.State() != StateReclaiming {
		return
	}
	switch {
	case err == nil && won.Term.Era >= e.era:
		e.lead(won, started, now, eventReclaim)
	case errors.Is(err, kv.ErrConflict):
		e.transition(eventLose)
	}
}

// RenewalDone processes the result of a renewal call, which was executed in an era. started is when the call was issued.
func (e *Election) RenewalDone(era kv.Era, err error, started time.Duration) {
	e.callInFlight = false
	if e.State() != StateLeading || era != e.term.Era && err == nil {
		// A lease that was renewed in another era says nothing about the record.
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
