package node

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Explain returns the recent events of a request that this gateway has recorded.
func (s *adminSources) Explain(_ context.Context, team, request string) (*admin.Explanation, error) {
	if _, err := s.routingTable(team); err != nil {
		return nil, err
	}
	records := s.node.options.Events.Recent(timeline.Filter{Request: request})
	if len(records) == 0 {
		return nil, errors.Wrapf(admin.ErrNotFound,
			"request %s has no recent event here; only refused requests are kept, by the gateway that answered", request)
	}
	explanation := &admin.Explanation{Request: request, Outcome: outcome.Unknown.String()}
	for _, record := range records {
		explanation.Events = append(explanation.Events, record.Event)
		explanation.Summary = record.Detail
		if result, _, ok := strings.Cut(record.Detail, ":"); ok {
			explanation.Outcome = result
		}
	}
	return explanation, nil
}
