package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// pollMembers polls every other configured member. In the first phase it asks whether the member holds no authority, in
// the second for its promise.
func (n *Node) pollMembers(now time.Duration, phase recoveryPhase) {
	r := &n.recovery
	r.phase, r.deadline = phase, now+pollTimeout
	r.waiting = make(map[string]bool)
	if phase == recoveryPromising {
		n.promise(now, r.targetGeneration, n.self)
	}
	for _, host := range n.hosts {
		if host.Name == n.self.Host {
			continue
		}
		r.waiting[host.Name] = true
		n.send(Member{Host: host.Name}, &wire.Control{Body: &wire.Control_Poll{Poll: &wire.Poll{
			Target: r.targetGeneration, Promise: phase == recoveryPromising,
			TableGeneration: r.newestTable.generation, TableVersion: r.newestTable.version,
		}}})
	}
	n.advancePoll(now)
}

// advancePoll starts the next phase of the recovery once all members have answered.
func (n *Node) advancePoll(now time.Duration) {
	r := &n.recovery
	if len(r.waiting) > 0 {
		return
	}
	if r.phase == recoveryPolling {
		n.pollMembers(now, recoveryPromising)
		return
	}
	n.writeGeneration(now)
}

// promise records a promise to take no authority below generation target, and gives up any authority that this gateway
// has.
func (n *Node) promise(now time.Duration, target uint64, to Member) {
	n.promised, n.promisedTo = target, to
	n.handover = nil
	if n.holder != nil || n.successor != nil {
		n.demote(now)
	}
}

func (n *Node) onPoll(now time.Duration, from Member, revision uint64, p *wire.Poll) {
	r := &n.recovery
	free := revision >= n.config.Revision && n.hasNoAuthority(now)
	// Of two recoveries at the same time, that of the host whose name sorts first continues.
	if !p.Promise && r.phase >= recoveryPolling && n.self.Host < from.Host {
		free = false
	}
	if p.Promise {
		free = free && (p.Target > n.promised || p.Target == n.promised && n.promisedTo == from)
		if free && !n.faults.skipPromise {
			n.promise(now, p.Target, from)
			r.abandon()
			r.retryAt = now + pollTimeout + time.Duration(n.random.Int64N(int64(maxPollBackoff)))
		}
	}
	answer := &wire.PollAnswer{Target: p.Target, Promise: p.Promise, Free: free, Promised: n.promised}
	if n.table.newer(p.TableGeneration, p.TableVersion) {
		answer.Table = n.table.wholeDelta()
	}
	n.send(from, &wire.Control{Body: &wire.Control_PollAnswer{PollAnswer: answer}})
}

func (n *Node) onPollAnswer(now time.Duration, from Member, a *wire.PollAnswer) {
	r := &n.recovery
	phase := recoveryPolling
	if a.Promise {
		phase = recoveryPromising
	}
	if r.phase != phase || a.Target != r.targetGeneration || !r.waiting[from.Host] {
		return
	}
	r.keepNewest(a.Table)
	if !a.Free {
		r.highestPromise = max(r.highestPromise, a.Promised)
		n.retryRecovery(now)
		return
	}
	delete(r.waiting, from.Host)
	n.advancePoll(now)
}
