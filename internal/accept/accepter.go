// Package accept puts configurations in force: it writes them to the platform's store by compare-and-swap
// against the revision that the operator saw.
package accept

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// maxAttempts bounds the reads and writes of one accept. Each attempt follows a lost answer, a stale read or a
// write by someone else.
const maxAttempts = 5

// Accepter accepts configurations. It is safe for concurrent use.
type Accepter struct {
	// Store is the platform's store.
	Store store.Store
	// Now returns the wall clock time. Default: time.Now.
	Now func() time.Time
	// HostResponds reports whether the gateway of a host answers. Default: every host answers.
	HostResponds config.HostResponds
	// InForce returns the configuration that the gateway has in force for the team, or nil. A store that shows a
	// smaller revision has lost data. Default: always nil.
	InForce func(team string) *config.Config
}

// Request asks for an accept.
type Request struct {
	// ID identifies the accept. A repeat with the same id and content has no further effect.
	ID string
	// BaseRevision is the revision on which the configuration is based, or 0 for the first one.
	BaseRevision uint64
	// Config is the configuration. Its revision, id, planned stops and history are ignored.
	Config *config.Config
	// Acknowledged are the hazards that the operator accepts.
	Acknowledged []config.HazardKind
	// Operator is the name of the operator.
	Operator string
	// Change describes the change for other operators. Default: the difference from the revision seen.
	Change string
}

// Current returns the accepted configuration of the team, or ErrNone. While the store is down or behind, it returns
// the configuration that the gateway has in force.
func (a *Accepter) Current(ctx context.Context, team string) (*config.Config, error) {
	current, _, err := a.read(ctx, team)
	if inForce := a.inForce(team); err != nil && inForce != nil {
		return inForce, nil
	}
	if err != nil {
		return nil, err
	}
	if current == nil {
		return nil, errors.Wrapf(ErrNoConfig, "team %s", team)
	}
	return current, nil
}

// Accept puts a configuration in force and returns it as accepted. If the id was accepted before, it returns the
// configuration in force at the time, unless others have superseded it; then it returns the latest one.
//
// Errors: config.Faults, config.Hazards, *Conflict, ErrStoreDown, ErrUndecided, ErrIDReused, ErrStoreBehind.
func (a *Accepter) Accept(ctx context.Context, team string, request Request) (*config.Config, error) {
	if request.ID == "" {
		return nil, ErrNoID
	}
	if err := request.Config.Validate(); err != nil {
		return nil, err
	}
	if request.Config.Team != team {
		return nil, (&config.Config{Team: team}).FindHazards(request.Config, a.answers())
	}
	return a.write(ctx, team, &replacement{accepter: a, request: request, digest: request.Config.Digest()})
}

// edit is a change that write applies to the configuration in the store.
type edit interface {
	// id identifies the accept.
	id() string
	// fingerprint identifies the content of the edit.
	fingerprint() string
	// apply returns the next configuration and its record, without revision, or an error that ends the accept.
	// current is nil if nothing was accepted yet.
	apply(current *config.Config) (*config.Config, config.HistoryEntry, error)
}

// write applies the edit with compare-and-swap. After a lost answer it reads the id back and repeats the same
// compare-and-swap, which has no effect if the first one took effect.
func (a *Accepter) write(ctx context.Context, team string, e edit) (*config.Config, error) {
	lost := false
	for range maxAttempts {
		current, version, err := a.read(ctx, team)
		if err != nil {
			return nil, undecidedIf(lost, err)
		}
		if done, err := accepted(current, e); done != nil || err != nil {
			return done, err
		}
		next, err := a.next(current, e)
		if err != nil {
			return nil, lostRace(lost, err)
		}
		document, err := next.Encode()
		if err != nil {
			return nil, err
		}
		_, err = a.Store.CompareAndSwap(ctx, config.StoreKey(team), version, document)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, store.ErrConflict):
			// Another write came first, or the read was stale. Read again and decide again.
		case errors.Is(err, store.ErrUnavailable):
			lost = true
		case errors.Is(err, store.ErrTooLarge):
			return nil, undecidedIf(lost, err)
		default:
			return nil, undecidedIf(true, err)
		}
	}
	return nil, errors.Wrapf(ErrUndecided, "id %s after %d attempts", e.id(), maxAttempts)
}

// read returns the configuration in the store and the version of its entry; nil and 0 if there is none.
func (a *Accepter) read(ctx context.Context, team string) (*config.Config, uint64, error) {
	entry, err := a.Store.Get(ctx, config.StoreKey(team))
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, a.notBehind(team, 0)
	}
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrapf(err, "%s", ErrStoreUnavailable.Error()), ErrStoreUnavailable)
	}
	current, err := config.Decode(entry.Value)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "stored configuration of team %s", team)
	}
	return current, entry.Version, a.notBehind(team, current.Revision)
}

func (a *Accepter) notBehind(team string, revision uint64) error {
	if inForce := a.inForce(team); inForce != nil && revision < inForce.Revision {
		return errors.Wrapf(ErrStoreBehind, "store has revision %d, in force is %d", revision, inForce.Revision)
	}
	return nil
}

func (a *Accepter) inForce(team string) *config.Config {
	if a.InForce == nil {
		return nil
	}
	return a.InForce(team)
}

// accepted returns the current configuration if it contains the edit.
func accepted(current *config.Config, e edit) (*config.Config, error) {
	if current == nil {
		return nil, nil
	}
	record, ok := current.HistoryEntryByID(e.id())
	if !ok {
		return nil, nil
	}
	if record.Digest != e.fingerprint() {
		return nil, errors.Wrapf(ErrIDReused, "id %s", e.id())
	}
	return current, nil
}

// next applies the edit, numbers the result and carries over what the operators do not edit.
func (a *Accepter) next(current *config.Config, e edit) (*config.Config, error) {
	next, record, err := e.apply(current)
	if err != nil {
		return nil, err
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	next.Revision, next.ID, next.Placements, next.History = 1, e.id(), nil, nil
	if current != nil {
		next.UpdatePlacements(current)
		next.Revision = current.Revision + 1
		next.History = append(next.History, current.History...)
	}
	record.Revision, record.ID, record.Digest, record.At = next.Revision, e.id(), e.fingerprint(), a.now()
	next.AppendHistory(record)
	return next, nil
}

func (a *Accepter) now() time.Time {
	if a.Now == nil {
		return time.Now().UTC()
	}
	return a.Now().UTC()
}

func (a *Accepter) answers() config.HostResponds {
	if a.HostResponds == nil {
		return func(config.Host) bool { return true }
	}
	return a.HostResponds
}
