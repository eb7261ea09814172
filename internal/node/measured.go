package node

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/control"
	"github.com/sapphireplank/sapphireplank/internal/metrics"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// requestObserver counts callers' requests.
type requestObserver struct {
	metrics *metrics.Metrics
}

// RequestCompleted counts one request.
func (o requestObserver) RequestCompleted(service string, _ int, result outcome.Outcome, took time.Duration) {
	o.metrics.ObserveRequest(service, result, took)
}

// RequestRetried does nothing: the attempts of a request show in its duration.
func (requestObserver) RequestRetried(string) {}

// countingSender counts the control messages that it passes on.
type countingSender struct {
	control.Sender
	metrics *metrics.Metrics
}

// Send counts and queues one payload.
func (s countingSender) Send(address string, payload []byte) error {
	s.metrics.CountControlMessage(metrics.DirectionSent, len(payload))
	return s.Sender.Send(address, payload)
}

// HandleControl counts and passes on one payload.
func (h peerHandler) HandleControl(payload []byte) {
	h.node.metrics.CountControlMessage(metrics.DirectionReceived, len(payload))
	h.Loop.HandleControl(payload)
}

// measureLease shows the rest of the home lease and counts its loss.
func (p *publisher) measureLease(s *cell.Snapshot) {
	now := time.Since(p.homes.start)
	lost := p.lease > 0 && now >= p.lease && s.HomeLeaseEnd != p.lease
	if lost {
		p.metrics.CountLostLease(metrics.LeaseHome)
	}
	p.lease = s.HomeLeaseEnd
	p.metrics.SetLeaseRemaining(metrics.LeaseHome, max(0, s.HomeLeaseEnd-now))
}
