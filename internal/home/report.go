package home

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// ReleasedScope is a scope of which no request is in progress and no grant is left.
type ReleasedScope struct {
	Scope backend.Scope
	Token fence.Token
}

// ScopeLoad is the work of one scope since the last report.
type ScopeLoad struct {
	Scope    backend.Scope
	Requests uint64
	SlotTime time.Duration
}

// HotKey is a key with many requests since the last report.
type HotKey struct {
	Key string
	// Requests is at most Error greater than the true number.
	Requests uint64
	Error    uint64
}

// Report is what the dispatcher tells the control state. Loads and hot keys are sent once per LoadInterval.
type Report struct {
	Server string
	Health Health
	// Released holds every releasing scope that is released, in each report until the assignment drops it.
	Released []ReleasedScope
	// WorkEnd is the time after which nothing that this home caused on the server can have an effect: the end of
	// the last grant that was sent and of the last request whose end is not known.
	WorkEnd time.Time
	// InProgress and Queued count requests at the time of the report.
	InProgress int
	Queued     int
	Loads      []ScopeLoad
	HotKeys    []HotKey
	// ServiceTime is the moving average of the slot time of a request.
	ServiceTime time.Duration
}

// LoadInterval separates two reports of load and hot keys.
const LoadInterval = time.Second
