package accept

import (
	"github.com/sapphireplank/sapphireplank/internal/config"
)

// replacement is the edit that replaces the whole configuration.
type replacement struct {
	accepter *Accepter
	request  Request
	digest   string
}

func (r *replacement) id() string          { return r.request.ID }
func (r *replacement) fingerprint() string { return r.digest }

func (r *replacement) apply(current *config.Config) (*config.Config, config.Accepted, error) {
	accepted := config.Accepted{Operator: r.request.Operator, Change: r.request.Change}
	next := r.request.Config.Clone()
	next.Stops = nil
	if current == nil {
		if r.request.BaseRevision != 0 {
			return nil, accepted, &Conflict{BaseRevision: r.request.BaseRevision, RefusedChange: r.request.Change}
		}
		if accepted.Change == "" {
			accepted.Change = "first configuration"
		}
		return next, accepted, nil
	}
	next.Stops = retainStops(current.Stops, next)
	if accepted.Change == "" {
		accepted.Change = config.Difference{Changes: current.Changes(next)}.Summary()
	}
	if current.Revision != r.request.BaseRevision {
		return nil, accepted, &Conflict{
			BaseRevision: r.request.BaseRevision, CurrentRevision: current.Revision,
			RefusedChange: accepted.Change, AcceptedSince: current.HistorySince(r.request.BaseRevision),
		}
	}
	hazards := current.FindHazards(next, r.accepter.hostResponds())
	return next, accepted, hazards.Unacknowledged(r.request.Acknowledged)
}

// retainStops returns the planned stops whose target is still configured. They are carried over because a configuration
// generated from a questionnaire contains no planned stops.
func retainStops(stops []config.Stop, next *config.Config) []config.Stop {
	var retained []config.Stop
	for _, stop := range stops {
		if next.HasTarget(stop.Target) {
			retained = append(retained, stop)
		}
	}
	return retained
}
