// Package home implements the dispatcher of one backend server: its slots, queue, grants, health and record of request
// identities. The gateway that is the home of the backend server runs it, and all traffic to the server passes through
// it.
package home

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Timing of the protocol. The values that are taken from package cell must be the same for the home and for the holder,
// which is the gateway that decides ownership in the cell: before the holder moves a partition, it waits for as long as
// work that the home has started may last.
const (
	// HomeLease is the duration of a home lease.
	HomeLease = cell.HomeLease
	// MaxClockSkew is the largest tolerated difference between two wall clocks.
	MaxClockSkew = cell.MaxClockSkew
	// RenewInterval is the interval between renewals of the grants.
	RenewInterval = 150 * time.Millisecond
	// ProbeInterval is the interval between probes of a server without grants.
	ProbeInterval = 200 * time.Millisecond
	// DefaultMaxRunTime is the default limit for the run time of a request. A higher limit extends the wait before
	// partitions move.
	DefaultMaxRunTime = cell.IncludedRunTime
	// IdentityWindow is how long request identities are remembered.
	IdentityWindow = 10 * time.Minute
)

const (
	// queueAllowance covers bursts of ten requests of 20 ms. With it, a heavy subscriber raises the p99 latency of the
	// others to at most 1.2 times in the simulation of package fairqueue.
	queueAllowance = 200 * time.Millisecond
	// debtSpacing spaces the starts of a heavy subscriber by 0.4 of the mean time in which one slot becomes free. At
	// 0.45, slots stay idle for so long that the heavy subscriber gets only 94.9% of the capacity that the others leave
	// in that simulation (target 95%). At 0.3, the p99 latency of the others is 1.204 times that without the heavy
	// subscriber (target 1.2).
	debtSpacing               = 0.4
	defaultQueuePerSubscriber = 256
	defaultQueueTotal         = 4096
	defaultIdentities         = 100_000
	// hotKeyCounters limits the error of the count of a hot key to 1/256 of all requests.
	hotKeyCounters = 256
)

// Backend sends requests to the backend server.
type Backend interface {
	Do(ctx context.Context, req *backend.Request) (*backend.Response, error)
}

// Grantor makes the control calls to the backend server.
type Grantor interface {
	Renew(ctx context.Context, set backend.GrantSet, expires time.Time) (backend.RenewResult, error)
	Withdraw(ctx context.Context, scopes []backend.Scope) error
	Probe(ctx context.Context) (backend.Health, error)
}

// Config holds the fixed settings of a Dispatcher.
type Config struct {
	Service string
	Server  string
	// Slots is the number of requests that the server executes concurrently.
	Slots int
	// Keyed is true for a sharded service, which has Partitions partitions.
	Keyed      bool
	Partitions int
	// Fenced is true if the server checks fencing tokens.
	Fenced bool
	// MaxRunTime limits the run time of a request. Default DefaultMaxRunTime.
	MaxRunTime time.Duration
	// RequireNewTokenAfterDown is true if the scopes of a server that was down need a new token before they are used
	// again. Set it if a holder issues new tokens for such scopes. Default: they are used again as soon as the server is
	// up.
	RequireNewTokenAfterDown bool
	// LeaseEnd returns the end of the home lease, with wall clock and monotonic reading. It must not block.
	LeaseEnd func() time.Time
	// OnReport is called with each report, from the control goroutine of the dispatcher. It must not block. Default:
	// none.
	OnReport func(Report)
	// Log receives the log messages of the dispatcher. Default: none.
	Log logrus.FieldLogger
	// Recorder receives events for the time line. Default: none.
	Recorder timeline.Recorder
	// QueuePerSubscriber and QueueTotal limit the queue. Defaults 256 and 4096 requests.
	QueuePerSubscriber int
	QueueTotal         int
	// MaxIdentities limits the number of recorded request identities. Default 100,000.
	MaxIdentities int
}

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.MaxRunTime == 0 {
		c.MaxRunTime = DefaultMaxRunTime
	}
	if c.QueuePerSubscriber == 0 {
		c.QueuePerSubscriber = defaultQueuePerSubscriber
	}
	if c.QueueTotal == 0 {
		c.QueueTotal = defaultQueueTotal
	}
	if c.MaxIdentities == 0 {
		c.MaxIdentities = defaultIdentities
	}
	if c.Log == nil {
		c.Log = logging.Discard().Component("home")
	}
	if c.Recorder == nil {
		c.Recorder = timeline.Discard{}
	}
	if c.OnReport == nil {
		c.OnReport = func(Report) {}
	}
	return c
}

// latestDeadline returns the latest deadline that a request may have. If MaxRunTime exceeds DefaultMaxRunTime, the
// holder waits for the difference in addition to the lease before it moves partitions.
func (c *Config) latestDeadline() time.Time {
	return c.LeaseEnd().Add(max(0, c.MaxRunTime-DefaultMaxRunTime))
}
