package accept

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Errors of an Accepter, for use with errors.Is.
var (
	ErrNoConfig         = errors.New("no configuration is accepted yet; run plankctl generate and plankctl accept")
	ErrNoID             = errors.New("accept has no id; draw a random one and use it again for a repeat")
	ErrStoreUnavailable = errors.New("the store does not answer and nothing was accepted; repeat the accept with the same id later")
	ErrUndecided        = errors.New("it is not known whether the accept took effect; repeat it with the same id, which is safe")
	ErrIDReused         = errors.New("the id belongs to an accept of other content; draw a new id")
	ErrStoreBehind      = errors.New("the store shows an older revision than the gateways; wait until they have written it back")
	ErrConflict         = errors.New("another operator was first; look at both changes, revise the answers and accept again")
	ErrStopNotFound     = errors.New("no planned stop is announced for this host; plankctl stop list shows all")
	ErrTargetNotFound   = errors.New("no host or backend server has this name; plankctl status shows all")
)

// Conflict reports that the configuration changed since the revision on which a request is based. It matches
// ErrConflict.
type Conflict struct {
	// BaseRevision is the revision on which the request is based, CurrentRevision the one in force.
	BaseRevision    uint64 `json:"seen"`
	CurrentRevision uint64 `json:"current"`
	// RefusedChange describes the refused change.
	RefusedChange string `json:"mine"`
	// AcceptedSince holds the accepts since BaseRevision that are still in the history, oldest first.
	AcceptedSince []config.Accepted `json:"theirs"`
}

// Error describes the refused change and the changes accepted since BaseRevision.
func (c *Conflict) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "revision %d is in force, not %d; ", c.CurrentRevision, c.BaseRevision)
	for _, accepted := range c.AcceptedSince {
		fmt.Fprintf(&text, "%s accepted revision %d (%s); ", operatorOrUnknown(accepted.Operator), accepted.Revision, accepted.Change)
	}
	fmt.Fprintf(&text, "refused was: %s; %s", c.RefusedChange, ErrConflict.Error())
	return text.String()
}

// Is matches ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

func operatorOrUnknown(operator string) string {
	if operator == "" {
		return "another operator"
	}
	return operator
}

// wrapUndecided returns err, marked as ErrUndecided if the outcome of an earlier write is unknown.
func wrapUndecided(outcomeUnknown bool, err error) error {
	if !outcomeUnknown {
		return err
	}
	return errors.Mark(errors.Wrapf(err, "%s", ErrUndecided.Error()), ErrUndecided)
}

// classifyEditError returns the error of an edit that can no longer be applied. An earlier write whose response was
// lost cannot take effect any more, because the version of the entry has changed. It may have taken effect before,
// with a history entry that has since been dropped; the outcome is then undecided.
func classifyEditError(outcomeUnknown bool, err error) error {
	var conflict *Conflict
	if outcomeUnknown && errors.As(err, &conflict) && !conflict.hasAllAccepts() {
		return wrapUndecided(true, err)
	}
	return err
}

// hasAllAccepts reports whether AcceptedSince contains every accept since BaseRevision.
func (c *Conflict) hasAllAccepts() bool {
	return uint64(len(c.AcceptedSince)) == c.CurrentRevision-c.BaseRevision
}
