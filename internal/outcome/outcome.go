// Package outcome defines execution outcomes of requests and the error responses that the gateway generates itself.
package outcome

// Outcome states whether a backend server executed a request.
type Outcome int

const (
	// Unknown means that the request may have been executed. It is the zero value, so that a missing outcome is never
	// taken as proof that the request was not executed.
	Unknown Outcome = iota
	// NotExecuted means that the request was not executed and will not be.
	NotExecuted
	// Executed means that the request was executed and a response was received.
	Executed
)

// String returns the outcome as it appears in problem documents.
func (o Outcome) String() string {
	switch o {
	case NotExecuted:
		return "not-run"
	case Executed:
		return "ran"
	default:
		return "unknown"
	}
}
