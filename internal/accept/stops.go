package accept

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// stopRetention is the time for which a past stop stays in the configuration, so that operators can still see it.
const stopRetention = 24 * time.Hour

// Announcement is a request to announce or cancel a planned stop.
type Announcement struct {
	// ID identifies the accept request, as in Request.
	ID string
	// Operator is the name of the operator.
	Operator string
	Stop     config.Stop
}

// Announce adds a planned stop or replaces the one of the same target. Announcements do not depend on the rest of
// the configuration, so they need no revision. Errors are those of Accept, ErrNoConfig and ErrTargetNotFound.
func (a *Accepter) Announce(ctx context.Context, team string, announcement Announcement) (*config.Config, error) {
	announcement.Stop.At = announcement.Stop.At.UTC()
	return a.writeStops(ctx, team, &stopEdit{announcement: announcement, now: a.now()})
}

// Cancel removes a planned stop. Errors are those of Accept, ErrNoConfig and ErrStopNotFound.
func (a *Accepter) Cancel(ctx context.Context, team string, announcement Announcement) (*config.Config, error) {
	return a.writeStops(ctx, team, &stopEdit{announcement: announcement, now: a.now(), cancel: true})
}

func (a *Accepter) writeStops(ctx context.Context, team string, e *stopEdit) (*config.Config, error) {
	if e.announcement.ID == "" {
		return nil, ErrNoID
	}
	return a.write(ctx, team, e)
}

// stopEdit is the edit that announces or cancels a planned stop.
type stopEdit struct {
	announcement Announcement
	now          time.Time
	cancel       bool
}

func (s *stopEdit) id() string { return s.announcement.ID }

func (s *stopEdit) fingerprint() string {
	stop := s.announcement.Stop
	if s.cancel {
		return "cancel " + stop.Target
	}
	return fmt.Sprintf("stop %s %s %d", stop.Target, stop.At.Format(time.RFC3339Nano), stop.ForSeconds)
}

func (s *stopEdit) apply(current *config.Config) (*config.Config, config.Accepted, error) {
	accepted := config.Accepted{Operator: s.announcement.Operator}
	stop := s.announcement.Stop
	if current == nil {
		return nil, accepted, ErrNoConfig
	}
	if !s.cancel && !current.HasTarget(stop.Target) {
		return nil, accepted, errors.Wrapf(ErrTargetNotFound, "target %q", stop.Target)
	}
	if !s.cancel && !stop.End().After(s.now) {
		return nil, accepted, config.ValidationErrors{{
			Section: "stop " + stop.Target, Key: "at", Value: stop.At.Format(time.RFC3339),
			Problem: "is over already", Remedy: "give a time that is still to come",
		}}
	}
	next := current.Clone()
	next.Stops = slices.DeleteFunc(next.Stops, s.isExpired)
	before := len(next.Stops)
	next.Stops = slices.DeleteFunc(next.Stops, func(other config.Stop) bool { return other.Target == stop.Target })
	if s.cancel {
		accepted.Change = "planned stop of " + stop.Target + " canceled"
		if len(next.Stops) == before {
			return nil, accepted, errors.Wrapf(ErrStopNotFound, "target %q", stop.Target)
		}
		return next, accepted, nil
	}
	accepted.Change = fmt.Sprintf("planned stop of %s at %s for %d s", stop.Target, stop.At.Format(time.RFC3339), stop.ForSeconds)
	next.Stops = append(next.Stops, stop)
	return next, accepted, nil
}

// isExpired reports whether a stop of another target ended more than stopRetention ago.
func (s *stopEdit) isExpired(stop config.Stop) bool {
	return stop.Target != s.announcement.Stop.Target && stop.End().Add(stopRetention).Before(s.now)
}
