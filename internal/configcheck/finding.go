// Package configcheck checks a configuration before it is sent: errors, routes that never match, limits that contradict each
// other, and what differs from the version in force. It performs no I/O.
package configcheck

import "strconv"

// Severity states what a finding means for the configuration.
type Severity string

// Severities. A configuration with an error is not to be sent.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
	SeverityChange  Severity = "change"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names the entry, such as routes[3] "lookup", with its position from 0.
	Entry string `json:"entry"`
	Field string `json:"field"`
	// Detail says what is wrong, or what differs, and what to do.
	Detail string `json:"detail"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return string(f.Severity) + ": " + f.Entry + " " + f.Field + ": " + f.Detail
}

// HasErrors reports whether any finding is an error.
func HasErrors(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity == SeverityError {
			return true
		}
	}
	return false
}

func routeEntry(position int, name string) string {
	return "routes[" + strconv.Itoa(position) + "] " + strconv.Quote(name)
}

func serviceEntry(name string) string { return "service " + strconv.Quote(name) }
