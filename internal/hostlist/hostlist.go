// Package hostlist defines the interface to the platform's list of hosts. It provides a fake with fault injection, and
// an HTTP client and server.
package hostlist

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("host list did not answer; keep the last answer, it is a hint only")

// State is the state of a host according to the list.
type State string

// States of a host. A host that is not in the list may still be alive.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is an entry of the list.
type Host struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// List is the platform's list of hosts. It is out of date by some time and can be wrong in either direction: callers
// may use it as a hint about which hosts to contact, never as proof that a host has failed or is alive.
type List interface {
	// Hosts returns all entries sorted by name, or ErrUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}
