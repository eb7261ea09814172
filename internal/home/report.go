package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// ReleasedScope is a scope without requests in execution and without a grant.
type ReleasedScope struct {
	Scope backend.Scope
	Token fence.Token
}

// ScopeLoad is the load of one scope since the last report with loads.
type ScopeLoad struct {
	Scope    backend.Scope
	Requests uint64
	SlotTime time.Duration
}

// HotKey is a key with many requests since the last report with hot keys.
type HotKey struct {
	Key string
	// Requests exceeds the true number by at most Error.
	Requests uint64
	Error    uint64
}

// Report is the state of a backend server that the dispatcher reports to the control plane. Loads and hot keys are
// included once per LoadInterval.
type Report struct {
	Server string
	Health Health
	// Released lists every scope whose release is complete, in each report until the scope is no longer assigned.
	Released []ReleasedScope
	// WorkEnd is the time after which nothing that this home sent to the server can have an effect: the latest expiry
	// of a grant that was sent, and the latest end of a request whose end is unknown.
	WorkEnd time.Time
	// InProgress and Queued are the numbers of requests in execution and waiting at the time of the report.
	InProgress int
	Queued     int
	Loads      []ScopeLoad
	HotKeys    []HotKey
	// ServiceTime is the moving average of the time for which a request occupies a slot.
	ServiceTime time.Duration
}

// LoadInterval is the interval between reports of loads and hot keys.
const LoadInterval = time.Second
