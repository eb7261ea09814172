package confsim

import (
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// acceptAttempts bounds the requests of one accept.
const acceptAttempts = 20

// acceptRun is one accept on one gateway.
type acceptRun struct {
	network     *Network
	host        *Host
	incarnation uint32
	accept      *confsync.Accept
	document    confsync.Document
	attempts    int
	done        func(confsync.Document, confsync.AcceptOutcome)
}

// Accept lets an operator accept a new document on host, based on what it holds. done gets the outcome, unless the
// gateway is lost before.
func (n *Network) Accept(host *Host, done func(confsync.Document, confsync.AcceptOutcome)) {
	n.accepted++
	seen := host.Node.Held().Version
	document := NewDocument(seen.Revision+1, fmt.Sprintf("op%d", n.accepted))
	accept, err := confsync.NewAccept(seen, seen, document)
	if err != nil {
		panic("confsim: " + err.Error())
	}
	run := &acceptRun{network: n, host: host, incarnation: host.incarnation, accept: accept, document: document, done: done}
	run.step()
}

// step sends the request to the store, unless the gateway is lost.
func (r *acceptRun) step() {
	n := r.network
	if !r.alive() {
		return
	}
	r.attempts++
	if r.attempts > acceptAttempts {
		r.accept.GiveUp()
		r.finish()
		return
	}
	if n.unreachable(r.host) {
		r.answerAfterTimeout(confsync.StoreResult{Seq: r.accept.Request().Seq, Err: confsync.StoreUnavailable})
		return
	}
	n.After(storeLatency, func() {
		result := n.execute(r.accept.Request())
		if result.Err == confsync.StoreUnavailable {
			r.answerAfterTimeout(result)
			return
		}
		n.After(storeLatency, func() { r.answer(result) })
	})
}

func (r *acceptRun) alive() bool { return r.host.Alive && r.host.incarnation == r.incarnation }

func (r *acceptRun) answerAfterTimeout(result confsync.StoreResult) {
	r.network.After(storeTimeout, func() { r.answer(result) })
}

func (r *acceptRun) answer(result confsync.StoreResult) {
	if !r.alive() {
		return
	}
	r.accept.Result(result)
	if r.accept.Outcome() == confsync.AcceptPending {
		r.step()
		return
	}
	r.finish()
}

func (r *acceptRun) finish() {
	outcome := r.accept.Outcome()
	if outcome == confsync.AcceptDone {
		r.network.apply(r.host, r.host.Node.Accepted(r.network.Now(), r.document))
	}
	if r.done != nil {
		r.done(r.document, outcome)
	}
}
