package node

import "time"

const (
	// handoverTimeout limits the handover of one backend server to another home gateway. It exceeds the longest timeout
	// of a request, 30 s.
	handoverTimeout = 31 * time.Second
	// headerTimeout limits the time for reading a request header.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection of an HTTP client is closed.
	idleTimeout = 2 * time.Minute
	// readinessDelay is the time between the failure of the readiness check and the closing of the listeners. It lets
	// the load balancer detect the failure first.
	readinessDelay = time.Second
	// peerResponseTimeout limits a query to another gateway and the check whether it is reachable.
	peerResponseTimeout = 300 * time.Millisecond
	// drainPollInterval is the interval at which a planned stop checks whether draining is complete.
	drainPollInterval = 20 * time.Millisecond
)
