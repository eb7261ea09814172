package node

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/control"
	"github.com/sapphireplank/sapphireplank/internal/metrics"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// requestObserver records the metrics of requests from clients.
type requestObserver struct {
	metrics *metrics.Metrics
}

// RequestCompleted records one request.
func (o requestObserver) RequestCompleted(service string, _ int, result outcome.Outcome, took time.Duration) {
	o.metrics.ObserveRequest(service, result, took)
}

// RequestRetried does nothing, because the duration of a request includes all its attempts.
func (requestObserver) RequestRetried(string) {}

// countingSender is a Sender that counts the control messages.
type countingSender struct {
	control.Sender
	metrics *metrics.Metrics
}

// Send counts one payload and passes it to the wrapped Sender.
func (s countingSender) Send(address string, payload []byte) error {
	s.metrics.CountControlMessage(metrics.DirectionSent, len(payload))
	return s.Sender.Send(address, payload)
}

// HandleControl counts one received payload and passes it to the control loop.
func (h peerHandler) HandleControl(payload []byte) {
	h.node.metrics.CountControlMessage(metrics.DirectionReceived, len(payload))
	h.Loop.HandleControl(payload)
}

// updateLeaseMetrics sets the metric of the remaining time of the home lease and counts a lease that expired
// before it was renewed.
func (p *publisher) updateLeaseMetrics(s *cell.Snapshot) {
	now := time.Since(p.dispatchers.start)
	lost := p.leaseEnd > 0 && now >= p.leaseEnd && s.HomeLeaseEnd != p.leaseEnd
	if lost {
		p.metrics.CountLostLease(metrics.LeaseHome)
	}
	p.leaseEnd = s.HomeLeaseEnd
	p.metrics.SetLeaseRemaining(metrics.LeaseHome, max(0, s.HomeLeaseEnd-now))
}
