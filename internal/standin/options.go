// Package standin provides simulated backend servers for tests and development deployments. They implement the
// protocol of docs/backend-servers.md over net/http and can inject the faults of real backend servers.
package standin

import (
	"net/http"
	"time"
)

// Delays of a backend server in the two example deployments.
const (
	ExampleConnectionDelay = time.Millisecond
	ExampleProbeDelay      = 6 * time.Millisecond
)

// Options configures a [Server].
type Options struct {
	Name string
	// Slots is the number of requests that the server can execute concurrently. Default 1.
	Slots int
	// Fenced enables the checks of fencing tokens and grants.
	Fenced bool
	// ConnectionDelay is the delay before a new connection is served. Default 0.
	ConnectionDelay time.Duration
	// ProbeDelay is the processing time of each probe and grant call. Default 0.
	ProbeDelay time.Duration
	// RunTime is the mean run time of a request. Default 0.
	RunTime time.Duration
	// ExponentialRunTime selects exponentially distributed run times instead of constant ones.
	ExponentialRunTime bool
	// Seed is the seed of the random run times.
	Seed uint64
	// ColdStart is the time after the start during which the server reports the state starting and executions take
	// ColdFactor times as long.
	ColdStart  time.Duration
	ColdFactor float64
	// Body is the body of each response. Default: the name of the server and the request ID.
	Body []byte
	// Observer is notified of each execution. Default: none.
	Observer Observer
	// SelectFault selects a fault for each request. If it selects none, the currently configured fault applies.
	// Default: none.
	SelectFault func(*http.Request) Fault
}

// Observer is notified of executions. Implementations must be safe for concurrent use.
type Observer interface {
	Started(Execution)
	Ended(Execution)
}

// Execution is one execution of a request.
type Execution struct {
	Server     string
	RequestID  string
	Identity   string
	Subscriber string
	Key        string
	Scope      string
	Token      string
	// Deadline is the time after which the execution has no effect, even on a server that was frozen meanwhile.
	Deadline time.Time
}

func (o Options) withDefaults() Options {
	o.Slots = max(o.Slots, 1)
	if o.ColdFactor == 0 {
		o.ColdFactor = 1
	}
	return o
}
