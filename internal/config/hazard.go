package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// HazardKind classifies the unsafe changes of a revision.
type HazardKind string

// Kinds of hazards for which a revision is always rejected.
const (
	// HazardTeam is a document that belongs to another team.
	HazardTeam HazardKind = "team-changed"
	// HazardPartitions is a change of the number of partitions: every key would change owner without being released by
	// the previous one.
	HazardPartitions HazardKind = "partitions-changed"
	// HazardKeyed is a service that is changed from sharded to not sharded, or the reverse.
	HazardKeyed HazardKind = "division-changed"
)

// Kinds of hazards that an operator can acknowledge.
const (
	// HazardIdempotent is a request that was executed at most once and may now be executed more than once.
	HazardIdempotent HazardKind = "request-turned-idempotent"
	// HazardFencing is a service whose backend servers no longer reject requests of a previous owner.
	HazardFencing HazardKind = "fencing-switched-off"
	// HazardLostZone is a zone that is declared lost while one of its hosts still responds.
	HazardLostZone HazardKind = "lost-zone-answers"
	// HazardZoneReturns is a zone that is no longer declared lost.
	HazardZoneReturns HazardKind = "lost-zone-returns"
	// HazardHostRemoved is a host that is removed while it still responds.
	HazardHostRemoved HazardKind = "removed-host-answers"
	// HazardCellRemoved is a cell that loses all its hosts although its zone is not declared lost.
	HazardCellRemoved HazardKind = "cell-removed"
	// HazardHostMoved is a host that changes its cell, zone or peer address.
	HazardHostMoved HazardKind = "host-moved"
	// HazardServerMoved is a backend server with another address or cell, or an address that is reused for another
	// backend server.
	HazardServerMoved HazardKind = "server-moved"
	// HazardShorterRequests is a reduced maximum run time, which requests in progress may exceed.
	HazardShorterRequests HazardKind = "longest-execution-shortened"
)

// ErrUnsafe matches every error that Hazards.Unacknowledged returns.
var ErrUnsafe = errors.New("revision is unsafe; change the answers or acknowledge each listed hazard")

// Hazard is a change in a revision that can break an invariant, such as one owner per key.
type Hazard struct {
	Kind HazardKind `json:"kind"`
	// Section identifies the element that changes.
	Section string `json:"section"`
	// Reason describes the possible failure.
	Reason string `json:"reason"`
	// Remedy describes a safe way to make the change.
	Remedy string `json:"remedy"`
}

// CanAcknowledge reports whether a revision with such a hazard is accepted once an operator acknowledges it.
func (k HazardKind) CanAcknowledge() bool {
	switch k {
	case HazardTeam, HazardPartitions, HazardKeyed:
		return false
	default:
		return true
	}
}

// String returns the hazard as one line.
func (h Hazard) String() string {
	line := fmt.Sprintf("[%s] %s: %s; %s", h.Section, h.Kind, h.Reason, h.Remedy)
	if h.Kind.CanAcknowledge() {
		line += ", or acknowledge " + string(h.Kind)
	}
	return line
}

// Hazards is a list of hazards. As an error it matches ErrUnsafe.
type Hazards []Hazard

// Error returns one line for each hazard.
func (h Hazards) Error() string {
	lines := make([]string, len(h))
	for i, hazard := range h {
		lines[i] = hazard.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrUnsafe) true.
func (h Hazards) Is(target error) bool { return target == ErrUnsafe }

// Unacknowledged returns an error with the hazards that are not acknowledged or that cannot be, or nil if there are
// none.
func (h Hazards) Unacknowledged(acknowledged []HazardKind) error {
	known := make(map[HazardKind]bool)
	for _, kind := range acknowledged {
		known[kind] = kind.CanAcknowledge()
	}
	var left Hazards
	for _, hazard := range h {
		if !known[hazard.Kind] {
			left = append(left, hazard)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return left
}
