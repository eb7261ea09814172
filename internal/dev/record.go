package dev

import "time"

// Result is what a caller learned about its request.
type Result int

// Results of a request.
const (
	// ResultAnswered is a whole answer of a backend server.
	ResultAnswered Result = iota
	// ResultNotRun is a refusal that says that the request did not run.
	ResultNotRun
	// ResultUnknown is a refusal that says that the outcome is unknown, or a broken connection.
	ResultUnknown
	// ResultCut is an answer that ended early and was seen to do so.
	ResultCut
	resultCount
)

// String returns the name of the result in reports.
func (r Result) String() string {
	return [resultCount]string{"answered", "refused as not run", "outcome unknown", "answer cut"}[r]
}

// Record is one request as its caller saw it.
type Record struct {
	Service    string
	Key        string
	Subscriber string
	// Identity is unique per request.
	Identity   string
	Idempotent bool
	Start      time.Time
	Took       time.Duration
	Result     Result
	Status     int
	// Kind is the problem kind of a refusal.
	Kind string
	// Gateway is the address that the balancer chose.
	Gateway string
	// Foreign is true if the answer belongs to another request.
	Foreign bool
}
