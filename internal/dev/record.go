package dev

import "time"

// Outcome is how a request ended, as seen by its client.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeAnswered means that the client received a complete response of a backend server.
	OutcomeAnswered Outcome = iota
	// OutcomeNotExecuted means that the request was not executed: a refusal says so, or nothing was sent.
	OutcomeNotExecuted
	// OutcomeUnknown means that it is unknown whether the request was executed: a refusal says so, or the connection broke.
	OutcomeUnknown
	// OutcomeTruncated means that the response was truncated and the client detected this.
	OutcomeTruncated
	outcomeCount
)

// String returns the name of the outcome in reports.
func (o Outcome) String() string {
	return [outcomeCount]string{"answered", "refused as not run", "outcome unknown", "answer cut"}[o]
}

// Record describes one request and its outcome, as recorded by its client.
type Record struct {
	Service    string
	Key        string
	Subscriber string
	// Identity is unique per request.
	Identity   string
	Idempotent bool
	Start      time.Time
	Latency    time.Duration
	Outcome    Outcome
	Status     int
	// Kind is the problem kind of a refusal, or "connection" after a transport error.
	Kind string
	// Gateway is the client address of the gateway to which the request was sent.
	Gateway string
	// Mismatched is true if the response belongs to another request.
	Mismatched bool
}
