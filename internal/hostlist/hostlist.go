// Package hostlist is the interface to the platform's list of hosts and its stand-in.
package hostlist

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrUnavailable is the error of a list that does not answer.
var ErrUnavailable = errors.New("host list did not answer; keep the last answer, it is a hint only")

// State is what the list says about a host.
type State string

// States of a host. A host that the list does not name may still live.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// List is the platform's list of hosts. It lags behind reality and can be wrong in either direction: callers may take
// it as a hint whom to ask, never as a proof that a host is lost or alive.
type List interface {
	// Hosts returns all entries in the order of their names, or ErrUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}
