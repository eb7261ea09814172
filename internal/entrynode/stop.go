package entrynode

import (
	"context"
	"time"
)

const (
	// notReadySeen is how long the balancer takes to send no new connections any more.
	notReadySeen = 2500 * time.Millisecond
	// lastRequestAfter is how long a stopping process takes requests. Later ones might not end in time.
	lastRequestAfter = 3 * time.Second
	// stopMargin is the part of the grace time that is left for the end of the process.
	stopMargin = 300 * time.Millisecond
	// stopPoll is how often a stopping process looks at its requests.
	stopPoll = 25 * time.Millisecond
	// resignTimeout bounds the calls of the store at the end.
	resignTimeout = 500 * time.Millisecond
)

// stop lets running requests end. Callers that keep their connection open are told to leave with their next answer;
// idle connections are closed once the balancer sends no new ones.
func (n *Node) stop() {
	started := time.Now()
	n.stopping.Store(true)
	n.log.WithField("requests", n.server.InFlight()).Info("stopping")
	n.server.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	n.controller.Resign(ctx)
	cancel()
	end := started.Add(n.settings.Load().StopGrace - stopMargin)
	for time.Now().Before(end) {
		time.Sleep(stopPoll)
		if time.Since(started) > lastRequestAfter {
			n.server.RejectRequests()
		}
		if time.Since(started) < notReadySeen {
			continue
		}
		n.server.CloseIdle()
		if n.server.Connections() == 0 && n.server.InFlight() == 0 {
			break
		}
	}
	n.log.WithField("requests", n.server.InFlight()).Info("stopped")
}
