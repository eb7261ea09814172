package dev

import "time"

// Result is the result of a request from the view of its caller.
type Result int

// Results of a request.
const (
	// ResultAnswered means that the caller received a complete response of a backend server.
	ResultAnswered Result = iota
	// ResultNotExecuted means that the request was not executed: a refusal says so, or nothing was sent.
	ResultNotExecuted
	// ResultUnknown means that it is unknown whether the request was executed: a refusal says so, or the connection broke.
	ResultUnknown
	// ResultTruncated means that the response was truncated and the caller detected this.
	ResultTruncated
	resultCount
)

// String returns the name of the result in reports.
func (r Result) String() string {
	return [resultCount]string{"answered", "refused as not run", "outcome unknown", "answer cut"}[r]
}

// Record is the result of one request as recorded by its caller.
type Record struct {
	Service    string
	Key        string
	Subscriber string
	// Identity is unique per request.
	Identity   string
	Idempotent bool
	Start      time.Time
	Latency    time.Duration
	Result     Result
	Status     int
	// Kind is the problem kind of a refusal, or "connection" after a transport error.
	Kind string
	// Gateway is the caller address of the gateway to which the request was sent.
	Gateway string
	// Mismatched is true if the response belongs to another request.
	Mismatched bool
}
