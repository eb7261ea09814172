package admin

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

// ErrNotFound is returned by sources that do not know the service, key or request.
var ErrNotFound = errors.New("nothing is known by this name; plankctl status shows services and hosts")

// Configurer reads and replaces configurations. *accept.Accepter is one.
type Configurer interface {
	// Current returns the accepted configuration of the team, or accept.ErrNone.
	Current(ctx context.Context, team string) (*config.Config, error)
	// Accept puts a configuration in force and returns it. Errors are those of accept.Accepter.
	Accept(ctx context.Context, team string, request accept.Request) (*config.Config, error)
	// Announce adds or replaces a planned stop.
	Announce(ctx context.Context, team string, announcement accept.Announcement) (*config.Config, error)
	// Cancel removes a planned stop.
	Cancel(ctx context.Context, team string, announcement accept.Announcement) (*config.Config, error)
}

// StatusSource knows the state of the deployment.
type StatusSource interface {
	Status(ctx context.Context, team string) (*Status, error)
}

// OwnerSource knows the owners of keys. It returns ErrNotFound for a service that is not configured or not divided
// by key.
type OwnerSource interface {
	Owner(ctx context.Context, team, service, key string) (*Ownership, error)
}

// StopSource knows how far planned stops have come. It returns one entry for each stop of the configuration.
type StopSource interface {
	StopProgress(ctx context.Context, team string) ([]StopProgress, error)
}

// ExplainSource knows what happened to recent requests. It returns ErrNotFound for a request that it has no events
// of. It must not return events of other teams.
type ExplainSource interface {
	Explain(ctx context.Context, team, request string) (*Explanation, error)
}
