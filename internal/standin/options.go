// Package standin has stand-in backend servers. They implement the contract in docs/backend-servers.md over
// net/http and have switches for the faults that real backend servers show.
package standin

import (
	"net/http"
	"time"
)

// Costs of a backend server in both deployments.
const (
	DefaultConnectionDelay = time.Millisecond
	DefaultProbeDelay      = 6 * time.Millisecond
)

// Options are the fixed settings of a Server.
type Options struct {
	Name string
	// Slots is the number of requests that the server can execute at a time. Default 1.
	Slots int
	// Fenced is true if the server checks fencing tokens and grants.
	Fenced bool
	// ConnectionDelay is spent on each new connection. Default 0.
	ConnectionDelay time.Duration
	// ProbeDelay is spent on each probe and grant call. Default 0.
	ProbeDelay time.Duration
	// ServiceTime is the mean execution time. Default 0.
	ServiceTime time.Duration
	// ExponentialServiceTime draws the execution time from an exponential distribution instead of a constant.
	ExponentialServiceTime bool
	// Seed seeds the execution times.
	Seed uint64
	// ColdStart is the time after the start in which executions take ColdFactor times as long.
	ColdStart  time.Duration
	ColdFactor float64
	// Body is the body of each answer. Default: the name of the server and the request id.
	Body []byte
	// Observer is told about each execution. Default: none.
	Observer Observer
	// SelectFault chooses a fault for each request, in addition to the switches. Default: none.
	SelectFault func(*http.Request) Fault
}

// Observer is told about executions. The calls come from many goroutines.
type Observer interface {
	Started(Execution)
	Ended(Execution)
}

// Execution is one run of a request.
type Execution struct {
	Server     string
	RequestID  string
	Identity   string
	Subscriber string
	Key        string
	Scope      string
	Token      string
	// Deadline is the time after which the execution has no effect, also on a server that was frozen.
	Deadline time.Time
}

func (o Options) withDefaults() Options {
	o.Slots = max(o.Slots, 1)
	if o.ColdFactor == 0 {
		o.ColdFactor = 1
	}
	return o
}
