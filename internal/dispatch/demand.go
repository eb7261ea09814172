// Package dispatch gives each request a backend server, or lets it wait, or refuses it. It keeps what this gateway
// knows about the load of backend servers; the decisions are those of placing, suspicion and admission.
package dispatch

import (
	"fmt"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admission"
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
)

// AcquireRequest is a request that needs a backend server. Times are counted from the start of the process.
type AcquireRequest struct {
	Service string
	// Key is the key of the request, if HasKey.
	Key    int
	HasKey bool
	admission.Request
	// Target is the latency objective.
	Target time.Duration
	// Tried are the backend servers that had the request before. Others are preferred.
	Tried []directory.Incarnation
	// StaleToken is the token with which an owner refused the request; the same token is not tried again until
	// RetryAt.
	StaleToken ownership.Token
	RetryAt    time.Duration
}

// Reason says why a request has no backend server.
type Reason string

// Reasons.
const (
	ReasonNoServer   Reason = "no server"
	ReasonNoOwner    Reason = "no owner"
	ReasonMoving     Reason = "key moves"
	ReasonSuspended  Reason = "owner suspended"
	ReasonFull       Reason = "servers full"
	ReasonCallerLeft Reason = "caller left"
)

// Refusal is the error of a request that is not placed.
type Refusal struct {
	Reason Reason
	// Wait is how long the request was expected to wait.
	Wait time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request not placed (%s); send it again after %v", r.Reason, r.Wait)
}
