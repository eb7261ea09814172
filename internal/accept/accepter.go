// Package accept commits configurations to the platform's store by compare-and-swap against the revision on which the
// operator based the change.
package accept

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// maxAttempts bounds the read-and-write attempts of one accept request. An attempt is repeated after a lost response, a
// stale read or a concurrent write.
const maxAttempts = 5

// Accepter validates and commits configurations. It is safe for concurrent use.
type Accepter struct {
	// Store is the platform's store.
	Store store.Store
	// Now returns the wall clock time. Default: time.Now.
	Now func() time.Time
	// HostResponds reports whether the gateway of a host responds. Default: all respond.
	HostResponds config.HostResponds
	// InForce returns the configuration that the gateway has in force for the team, or nil. A store with a
	// lower revision has lost data. Default: always nil.
	InForce func(team string) *config.Config
}

// Request is a request to accept a configuration.
type Request struct {
	// ID identifies the accept request. A repeat with the same id and content has no further effect.
	ID string
	// BaseRevision is the revision on which the configuration is based, or 0 for the first one.
	BaseRevision uint64
	// Config is the configuration. Its revision, id, planned stops and history are ignored.
	Config *config.Config
	// Acknowledged holds the hazards that the operator acknowledges.
	Acknowledged []config.HazardKind
	// Operator is the name of the operator.
	Operator string
	// Change describes the change for other operators. Default: the differences from the current configuration.
	Change string
}

// Current returns the accepted configuration of the team, or ErrNoConfig. While the store is down or behind, it
// returns the configuration that the gateway has in force.
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
// current configuration, which may be a later one.
//
// Errors: config.ValidationErrors, config.Hazards, *Conflict, ErrNoID, ErrStoreUnavailable, ErrUndecided, ErrIDReused,
// ErrStoreBehind.
func (a *Accepter) Accept(ctx context.Context, team string, request Request) (*config.Config, error) {
	if request.ID == "" {
		return nil, ErrNoID
	}
	if err := request.Config.Validate(); err != nil {
		return nil, err
	}
	if request.Config.Team != team {
		return nil, (&config.Config{Team: team}).FindHazards(request.Config, a.hostResponds())
	}
	return a.write(ctx, team, &replacement{accepter: a, request: request, digest: request.Config.Digest()})
}

// edit is a change to the configuration in the store. Accepter.write applies it.
type edit interface {
	// id identifies the accept request.
	id() string
	// fingerprint identifies the content of the edit.
	fingerprint() string
	// apply returns the next configuration and its history entry, without revision, or an error that ends the request.
	// current is nil if no configuration has been accepted yet.
	apply(current *config.Config) (*config.Config, config.Accepted, error)
}

// write applies the edit by compare-and-swap. After a lost response, it reads the store again. If the history contains
// the id, the first compare-and-swap took effect. If not, write repeats the same compare-and-swap, which has no effect
// if the first one took effect in the meantime.
func (a *Accepter) write(ctx context.Context, team string, e edit) (*config.Config, error) {
	outcomeUnknown := false
	for range maxAttempts {
		current, version, err := a.read(ctx, team)
		if err != nil {
			return nil, wrapUndecided(outcomeUnknown, err)
		}
		if done, err := findAccepted(current, e); done != nil || err != nil {
			return done, err
		}
		next, err := a.buildNext(current, e)
		if err != nil {
			return nil, classifyEditError(outcomeUnknown, err)
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
			// A concurrent write succeeded or the read was stale. Read the entry again.
		case errors.Is(err, store.ErrUnavailable):
			outcomeUnknown = true
		case errors.Is(err, store.ErrTooLarge):
			return nil, wrapUndecided(outcomeUnknown, err)
		default:
			return nil, wrapUndecided(true, err)
		}
	}
	return nil, errors.Wrapf(ErrUndecided, "id %s after %d attempts", e.id(), maxAttempts)
}

// read returns the configuration in the store and the version of its entry, or nil and 0 if there is none.
func (a *Accepter) read(ctx context.Context, team string) (*config.Config, uint64, error) {
	entry, err := a.Store.Get(ctx, config.StoreKey(team))
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, a.checkNotBehind(team, 0)
	}
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrapf(err, "%s", ErrStoreUnavailable.Error()), ErrStoreUnavailable)
	}
	current, err := config.Decode(entry.Value)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "stored configuration of team %s", team)
	}
	return current, entry.Version, a.checkNotBehind(team, current.Revision)
}

func (a *Accepter) checkNotBehind(team string, revision uint64) error {
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

// findAccepted returns the current configuration if its history contains the edit.
func findAccepted(current *config.Config, e edit) (*config.Config, error) {
	if current == nil {
		return nil, nil
	}
	accepted, ok := current.HistoryEntryByID(e.id())
	if !ok {
		return nil, nil
	}
	if accepted.Digest != e.fingerprint() {
		return nil, errors.Wrapf(ErrIDReused, "id %s", e.id())
	}
	return current, nil
}

// buildNext applies the edit, sets the revision and carries over the placements and the history.
func (a *Accepter) buildNext(current *config.Config, e edit) (*config.Config, error) {
	next, accepted, err := e.apply(current)
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
	accepted.Revision, accepted.ID, accepted.Digest, accepted.At = next.Revision, e.id(), e.fingerprint(), a.now()
	next.AppendHistory(accepted)
	return next, nil
}

func (a *Accepter) now() time.Time {
	if a.Now == nil {
		return time.Now().UTC()
	}
	return a.Now().UTC()
}

func (a *Accepter) hostResponds() config.HostResponds {
	if a.HostResponds == nil {
		return func(config.Host) bool { return true }
	}
	return a.HostResponds
}
