package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks every error that Faults.Err returns.
var ErrInvalid = errors.New("configuration is not valid; correct each fault that is listed")

// ValidationError is one thing that is wrong with a questionnaire or a configuration.
type ValidationError struct {
	// Section is the section of the questionnaire, or the list and element of the configuration.
	Section string `json:"section"`
	// Key is the setting within the section. Empty if the fault concerns the section as a whole.
	Key string `json:"key,omitempty"`
	// Value is the value that was found.
	Value string `json:"value,omitempty"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Remedy says what to do.
	Remedy string `json:"remedy"`
}

// String returns the fault as one line.
func (f ValidationError) String() string {
	place := "[" + f.Section + "]"
	if f.Key != "" {
		place += " " + f.Key
	}
	if f.Value != "" {
		place += fmt.Sprintf(" = %q", f.Value)
	}
	return place + ": " + f.Problem + "; " + f.Remedy
}

// ValidationErrors is a list of faults in the order in which they were found.
type ValidationErrors []ValidationError

// Add appends a fault.
func (f *ValidationErrors) Add(section, key, value, problem, remedy string) {
	*f = append(*f, ValidationError{Section: section, Key: key, Value: value, Problem: problem, Remedy: remedy})
}

// Error returns one line for each fault.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true.
func (f ValidationErrors) Is(target error) bool { return target == ErrInvalid }

// Err returns the list as an error, or nil if it is empty.
func (f ValidationErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
