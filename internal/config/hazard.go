package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// HazardKind names a class of unsafe revision.
type HazardKind string

// Kinds of hazards that are always refused.
const (
	// HazardTeam is a document of another team.
	HazardTeam HazardKind = "team-changed"
	// HazardPartitions is another number of partitions: every key would change its owner without a release.
	HazardPartitions HazardKind = "partitions-changed"
	// HazardKeyed is a service that starts or ends to be divided by key.
	HazardKeyed HazardKind = "division-changed"
)

// Kinds of hazards that an operator can acknowledge.
const (
	// HazardIdempotent is a request that ran at most once and may now run twice.
	HazardIdempotent HazardKind = "request-turned-idempotent"
	// HazardFencing is a service whose backend servers no longer refuse an older owner.
	HazardFencing HazardKind = "fencing-switched-off"
	// HazardLostZone is a zone that is declared lost while hosts of it still answer.
	HazardLostZone HazardKind = "lost-zone-answers"
	// HazardZoneReturns is a zone that is no longer declared lost.
	HazardZoneReturns HazardKind = "lost-zone-returns"
	// HazardHostRemoved is a host that is removed while it still answers.
	HazardHostRemoved HazardKind = "removed-host-answers"
	// HazardCellRemoved is a cell that loses all its hosts although its zone is not declared lost.
	HazardCellRemoved HazardKind = "cell-removed"
	// HazardHostMoved is a host that changes its cell, zone or peer address.
	HazardHostMoved HazardKind = "host-moved"
	// HazardServerMoved is a backend server that gets another address or cell, or an address that gets another
	// server.
	HazardServerMoved HazardKind = "server-moved"
	// HazardShorterRequests is a shorter longest execution: requests that run already may exceed it.
	HazardShorterRequests HazardKind = "longest-execution-shortened"
)

// ErrUnsafe marks the errors that Hazards.Unacknowledged returns.
var ErrUnsafe = errors.New("revision is unsafe; revise the answers or acknowledge the hazards that are listed")

// Hazard is one reason why a revision is unsafe.
type Hazard struct {
	Kind HazardKind `json:"kind"`
	// Section names the element that changes.
	Section string `json:"section"`
	// Reason says what could go wrong.
	Reason string `json:"reason"`
	// Remedy says how to reach the aim safely.
	Remedy string `json:"remedy"`
}

// CanAcknowledge reports whether an operator can accept the hazard.
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

// Unacknowledged returns the hazards whose kind is not among the acknowledged ones as an error, or nil.
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
