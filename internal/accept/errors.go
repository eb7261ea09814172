package accept

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Errors of an Accepter. Use errors.Is.
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

// Conflict says that the configuration changed after the operator saw it. It matches ErrConflict.
type Conflict struct {
	// BaseRevision is the revision that the operator saw, Current the one in force.
	BaseRevision    uint64 `json:"seen"`
	CurrentRevision uint64 `json:"current"`
	// RefusedChange describes the change that was refused.
	RefusedChange string `json:"mine"`
	// AcceptedSince are the accepts since the revision that the operator saw, oldest first, as far as they are remembered.
	AcceptedSince []config.HistoryEntry `json:"theirs"`
}

// Error names both changes.
func (c *Conflict) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "revision %d is in force, not %d; ", c.CurrentRevision, c.BaseRevision)
	for _, accepted := range c.AcceptedSince {
		fmt.Fprintf(&text, "%s accepted revision %d (%s); ", orUnknown(accepted.Operator), accepted.Revision, accepted.Change)
	}
	fmt.Fprintf(&text, "refused was: %s; %s", c.RefusedChange, ErrConflict.Error())
	return text.String()
}

// Is makes errors.Is(err, ErrConflict) true.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

func orUnknown(operator string) string {
	if operator == "" {
		return "another operator"
	}
	return operator
}

// undecidedIf returns err, or ErrUndecided if an earlier write may have taken effect.
func undecidedIf(lost bool, err error) error {
	if !lost {
		return err
	}
	return errors.Mark(errors.Wrapf(err, "%s", ErrUndecided.Error()), ErrUndecided)
}

// lostRace returns the error of an edit that can no longer be applied. A write whose answer was lost can no longer
// take effect then, because the entry has another version, but it may have taken effect and been forgotten.
func lostRace(lost bool, err error) error {
	var conflict *Conflict
	if lost && errors.As(err, &conflict) && !conflict.isComplete() {
		return undecidedIf(true, err)
	}
	return err
}

// isComplete reports whether Theirs holds every accept since Seen.
func (c *Conflict) isComplete() bool {
	return uint64(len(c.AcceptedSince)) == c.CurrentRevision-c.BaseRevision
}
