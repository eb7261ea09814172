package admin

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

// ErrNotFound is returned by a source for an unknown service, key or request.
var ErrNotFound = errors.New("nothing is known by this name; plankctl status shows services and hosts")

// Configurer reads and replaces configurations. *accept.Accepter implements it.
type Configurer interface {
	// Current returns the accepted configuration of the team, or accept.ErrNoConfig if there is none.
	Current(ctx context.Context, team string) (*config.Config, error)
	// Accept validates a configuration, puts it in force and returns it. It returns the errors of accept.Accepter.
	Accept(ctx context.Context, team string, request accept.Request) (*config.Config, error)
	// Announce adds or replaces a planned stop and returns the resulting configuration.
	Announce(ctx context.Context, team string, announcement accept.Announcement) (*config.Config, error)
	// Cancel removes a planned stop and returns the resulting configuration.
	Cancel(ctx context.Context, team string, announcement accept.Announcement) (*config.Config, error)
}

// StatusSource reports the state of the deployment.
type StatusSource interface {
	Status(ctx context.Context, team string) (*Status, error)
}

// OwnerSource looks up the owners of keys. It returns ErrNotFound for a service that is not configured or not sharded.
type OwnerSource interface {
	Owner(ctx context.Context, team, service, key string) (*Ownership, error)
}

// StopSource reports the progress of planned stops, with one entry for each stop in the configuration.
type StopSource interface {
	StopProgress(ctx context.Context, team string) ([]StopProgress, error)
}

// ExplainSource looks up the history of recent requests. It returns ErrNotFound for a request without recorded events.
// It must not return events of other teams.
type ExplainSource interface {
	Explain(ctx context.Context, team, request string) (*Explanation, error)
}
