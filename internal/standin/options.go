// Package standin has stand-in backend servers. They implement the contract in docs/backend-servers.md over
// net/http and have switches for the faults that real backend servers show.
package standin

import (
	"net/http"
	"time"
)

// Costs of a backend server in both deployments.
const (
	DefaultConnectionCost = time.Millisecond
	DefaultProbeCost      = 6 * time.Millisecond
)

// Options are the fixed settings of a Server.
type Options struct {
	Name string
	// Slots is the number of requests that the server can execute at a time. Default 1.
	Slots int
	// Fenced is true if the server checks fencing tokens and grants.
	Fenced bool
	// ConnectionCost is spent on each new connection. Default 0.
	ConnectionCost time.Duration
	// ProbeCost is spent on each probe and grant call. Default 0.
	ProbeCost time.Duration
	// ServiceTime is the mean execution time. Default 0.
	ServiceTime time.Duration
	// Exponential draws the execution time from an exponential distribution instead of a constant.
	Exponential bool
	// Seed seeds the execution times.
	Seed uint64
	// ColdStart is the time after the start in which executions take ColdFactor times as long.
	ColdStart  time.Duration
	ColdFactor float64
	// Body is the body of each answer. Default: the name of the server and the request id.
	Body []byte
	// Observer is told about each execution. Default: none.
	Observer Observer
	// Plan chooses a fault for each request, in addition to the switches. Default: none.
	Plan func(*http.Request) Fault
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
}

func (o Options) withDefaults() Options {
	o.Slots = max(o.Slots, 1)
	if o.ColdFactor == 0 {
		o.ColdFactor = 1
	}
	return o
}
