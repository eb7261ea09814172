package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid matches every list of validation errors of this package.
var ErrInvalid = errors.New("configuration is invalid; correct each listed error")

// ValidationError is one validation error of a questionnaire or configuration.
type ValidationError struct {
	// Section is a section of the questionnaire, or a list or element of the configuration.
	Section string `json:"section"`
	// Key is the setting within the section. It is empty if the error concerns the section as a whole.
	Key string `json:"key,omitempty"`
	// Value is the rejected value.
	Value string `json:"value,omitempty"`
	// Problem states which rule the value violates.
	Problem string `json:"problem"`
	// Remedy tells the operator how to correct it.
	Remedy string `json:"remedy"`
}

// String returns the error as one line: [section] key = "value": problem; remedy.
func (f ValidationError) String() string {
	location := "[" + f.Section + "]"
	if f.Key != "" {
		location += " " + f.Key
	}
	if f.Value != "" {
		location += fmt.Sprintf(" = %q", f.Value)
	}
	return location + ": " + f.Problem + "; " + f.Remedy
}

// ValidationErrors is a list of validation errors in the order in which they were found.
type ValidationErrors []ValidationError

func (f *ValidationErrors) Add(section, key, value, problem, remedy string) {
	*f = append(*f, ValidationError{Section: section, Key: key, Value: value, Problem: problem, Remedy: remedy})
}

// Error returns one line for each validation error.
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
