// Package outcome names what became of a request and the refusals that the system itself makes.
package outcome

// Outcome says whether a request was executed by a backend server.
type Outcome int

const (
	// Unknown means that the request may or may not have been executed. It is the zero value, so that a
	// missing outcome never counts as not run.
	Unknown Outcome = iota
	// NotExecuted means that the request was not executed and will not be.
	NotExecuted
	// Executed means that the request was executed and answered.
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
