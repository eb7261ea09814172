package confsim

import (
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

// maxAcceptRequests bounds the number of requests to the store per accept operation.
const maxAcceptRequests = 20

// acceptRun is an accept operation in progress on a gateway.
type acceptRun struct {
	network     *Network
	host        *Host
	incarnation uint32
	accept      *confsync.Accept
	document    confsync.Document
	requests    int
	done        func(confsync.Document, confsync.AcceptOutcome)
}

// Accept starts an accept operation on host for a new document that is based on the one that the host holds. done is
// called with the outcome, unless the gateway crashes first.
func (n *Network) Accept(host *Host, done func(confsync.Document, confsync.AcceptOutcome)) {
	n.acceptCount++
	seen := host.Node.Held().Version
	document := NewDocument(seen.Revision+1, fmt.Sprintf("op%d", n.acceptCount))
	accept, err := confsync.NewAccept(seen, seen, document)
	if err != nil {
		panic("confsim: " + err.Error())
	}
	run := &acceptRun{network: n, host: host, incarnation: host.incarnation, accept: accept, document: document, done: done}
	run.sendRequest()
}

// sendRequest sends the current request to the store, unless the gateway has crashed.
func (r *acceptRun) sendRequest() {
	n := r.network
	if !r.alive() {
		return
	}
	r.requests++
	if r.requests > maxAcceptRequests {
		r.accept.GiveUp()
		r.finish()
		return
	}
	if n.storeUnreachable(r.host) {
		r.handleAfterTimeout(confsync.StoreResult{Seq: r.accept.Request().Seq, Err: confsync.StoreUnavailable})
		return
	}
	n.After(storeLatency, func() {
		result := n.execute(r.accept.Request())
		if result.Err == confsync.StoreUnavailable {
			r.handleAfterTimeout(result)
			return
		}
		n.After(storeLatency, func() { r.handleResult(result) })
	})
}

func (r *acceptRun) alive() bool { return r.host.Alive && r.host.incarnation == r.incarnation }

func (r *acceptRun) handleAfterTimeout(result confsync.StoreResult) {
	r.network.After(storeTimeout, func() { r.handleResult(result) })
}

func (r *acceptRun) handleResult(result confsync.StoreResult) {
	if !r.alive() {
		return
	}
	r.accept.HandleResult(result)
	if r.accept.Outcome() == confsync.AcceptPending {
		r.sendRequest()
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
