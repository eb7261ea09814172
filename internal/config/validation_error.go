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
func (v ValidationError) String() string {
	location := "[" + v.Section + "]"
	if v.Key != "" {
		location += " " + v.Key
	}
	if v.Value != "" {
		location += fmt.Sprintf(" = %q", v.Value)
	}
	return location + ": " + v.Problem + "; " + v.Remedy
}

// ValidationErrors is a list of validation errors in the order in which they were found.
type ValidationErrors []ValidationError

func (v *ValidationErrors) Add(section, key, value, problem, remedy string) {
	*v = append(*v, ValidationError{Section: section, Key: key, Value: value, Problem: problem, Remedy: remedy})
}

// Error returns one line for each validation error.
func (v ValidationErrors) Error() string {
	lines := make([]string, len(v))
	for i, validationError := range v {
		lines[i] = validationError.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) true.
func (v ValidationErrors) Is(target error) bool { return target == ErrInvalid }

// Err returns the list as an error, or nil if it is empty.
func (v ValidationErrors) Err() error {
	if len(v) == 0 {
		return nil
	}
	return v
}
