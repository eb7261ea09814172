package cell

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// pollMembers asks each other configured member, first whether it is free and then for its promise.
func (n *Node) pollMembers(now time.Duration, phase recoveryPhase) {
	r := &n.recovery
	r.phase, r.deadline = phase, now+pollTimeout
	r.waiting = make(map[string]bool)
	if phase == recoveryPromising {
		n.promise(now, r.target, n.self)
	}
	for _, host := range n.hosts {
		if host.Name == n.self.Host {
			continue
		}
		r.waiting[host.Name] = true
		n.send(Member{Host: host.Name}, &wire.Control{Body: &wire.Control_Poll{Poll: &wire.Poll{
			Target: r.target, Promise: phase == recoveryPromising,
			TableGeneration: r.best.generation, TableVersion: r.best.version,
		}}})
	}
	n.polled(now)
}

func (n *Node) polled(now time.Duration) {
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

// promise gives up every part of an authority below target.
func (n *Node) promise(now time.Duration, target uint64, to Member) {
	n.promised, n.promisedTo = target, to
	n.handover = nil
	if n.holder != nil || n.successor != nil {
		n.demote(now)
	}
}

func (n *Node) onPoll(now time.Duration, from Member, revision uint64, p *wire.Poll) {
	r := &n.recovery
	free := revision >= n.config.Revision && n.free(now)
	if !p.Promise && r.phase >= recoveryPolling && n.self.Host < from.Host {
		free = false
	}
	if p.Promise {
		free = free && (p.Target > n.promised || p.Target == n.promised && n.promisedTo == from)
		if free && !n.faults.noPromise {
			n.promise(now, p.Target, from)
			r.abandon()
			r.nextAt = now + pollTimeout + time.Duration(n.random.Int64N(int64(pollBackoffMax)))
		}
	}
	answer := &wire.PollAnswer{Target: p.Target, Promise: p.Promise, Free: free, Promised: n.promised}
	if n.table.newer(p.TableGeneration, p.TableVersion) {
		answer.Table = n.table.whole()
	}
	n.send(from, &wire.Control{Body: &wire.Control_PollAnswer{PollAnswer: answer}})
}

func (n *Node) onPollAnswer(now time.Duration, from Member, a *wire.PollAnswer) {
	r := &n.recovery
	phase := recoveryPolling
	if a.Promise {
		phase = recoveryPromising
	}
	if r.phase != phase || a.Target != r.target || !r.waiting[from.Host] {
		return
	}
	r.take(a.Table)
	if !a.Free {
		r.floor = max(r.floor, a.Promised)
		n.retryRecovery(now)
		return
	}
	delete(r.waiting, from.Host)
	n.polled(now)
}
