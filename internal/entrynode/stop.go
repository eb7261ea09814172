package entrynode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// readinessPropagation is how long the load balancer takes to stop sending new connections after the readiness check
	// fails.
	readinessPropagation = 2500 * time.Millisecond
	// requestAcceptPeriod is how long a stopping process accepts requests. Later requests might not finish within the
	// grace period. It is shorter than the 3 s for which load balancers have to expect that, because the signal may arrive
	// late.
	requestAcceptPeriod = 2750 * time.Millisecond
	// finishMargin is how long before the end of the grace period requests that have not arrived completely are rejected, and
	// responses are sent that wait for an earlier one.
	finishMargin = 200 * time.Millisecond
	// lastResponseMargin is how long before the end of the grace period the last request that was queued is expected to be
	// answered.
	lastResponseMargin = 100 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 300 * time.Millisecond
	// stopPollInterval is how often a stopping process checks for outstanding requests and open connections.
	stopPollInterval = 25 * time.Millisecond
)

// closeListener stops accepting client connections, and waits until the accepted ones are counted.
func (n *Node) closeListener() {
	// An error means that it is closed already.
	_ = n.clientListener.Close()
	<-n.served
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// shutdown shuts the process down gracefully: running requests finish, queued ones that cannot are refused, client
// connections are closed after their next response, and idle connections are closed once the load balancer sends no new
// ones. At the end, responses that wait behind a running request are sent. The elected gateway stays until it has resigned,
// at most until the end of the grace period.
func (n *Node) shutdown() {
	started := time.Now()
	n.stopping.Store(true)
	n.logOutstanding("stopping")
	n.server.Drain()
	end := started.Add(n.settings.Load().StopGrace - exitMargin)
	n.dispatcher.Stop(n.clock() + time.Until(end) - lastResponseMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		n.controller.Resign(ctx)
	}()
	for time.Now().Before(end) {
		time.Sleep(stopPollInterval)
		if time.Since(started) > requestAcceptPeriod {
			n.server.RejectRequests()
		}
		if time.Since(started) < readinessPropagation {
			continue
		}
		n.server.CloseIdle()
		if time.Until(end) < finishMargin {
			n.server.AbortReads()
			n.server.Finish()
		}
		if n.server.Connections() > 0 || n.server.InFlight() > 0 || !isClosed(resigned) {
			continue
		}
		if isClosed(n.served) {
			break
		}
		// Connections that were accepted before this took effect are still served.
		n.closeListener()
	}
	n.logOutstanding("stopped")
}

// logOutstanding logs how many requests are not answered yet, and how many of these wait for a backend server. The others
// are being forwarded, or wait for an earlier request of their connection.
func (n *Node) logOutstanding(message string) {
	n.log.WithFields(logrus.Fields{"requests": n.server.InFlight(), "queued": n.dispatcher.Queued()}).Info(message)
}
