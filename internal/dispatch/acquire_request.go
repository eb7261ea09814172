// Package dispatch assigns a backend server to each request, queues the request, or rejects it. It tracks the load
// of backend servers as seen by this gateway; the decisions themselves are made by the packages placing, suspicion
// and admission.
package dispatch

import (
	"fmt"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admission"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
)

// AcquireRequest is a request that needs a backend server. Times are relative to the start of the process.
type AcquireRequest struct {
	Service string
	// Key is the key of the request. It is valid only if HasKey is set.
	Key    int
	HasKey bool
	admission.Request
	// Target is the latency objective.
	Target time.Duration
	// Tried lists the backend servers to which the request was already sent. Other servers are preferred.
	Tried []directory.Incarnation
	// StaleToken is the fencing token that an owner rejected as stale. The same token is not used again until
	// RetryAt.
	StaleToken ownership.Token
	RetryAt    time.Duration
}

// Reason states why no backend server was assigned to a request.
type Reason string

// These reasons are also used as metric labels.
const (
	ReasonNoServer  Reason = "no server"
	ReasonNoOwner   Reason = "no owner"
	ReasonMoving    Reason = "key moves"
	ReasonSuspended Reason = "owner suspended"
	ReasonLeaving   Reason = "servers leave"
	// ReasonZoneDrained means that the operator drains the zones of all servers that could take the request.
	ReasonZoneDrained Reason = "zones drained"
	ReasonHeldOff     Reason = "servers hold off"
	ReasonFull        Reason = "servers full"
	ReasonLimited     Reason = "servers limit requests"
	ReasonStopping    Reason = "gateway stops"
	ReasonClientLeft  Reason = "caller left"
)

// Refusal is the error for a request to which no backend server was assigned.
type Refusal struct {
	Reason Reason
	// Wait is the expected queueing time of the request.
	Wait time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no backend server assigned to the request (%s); retry after %v", r.Reason, r.Wait)
}
