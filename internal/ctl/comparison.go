package ctl

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// revisionFile is the argument of diff and accept.
type revisionFile struct {
	File flags.Filename `positional-arg-name:"FILE" description:"Questionnaire, or generated configuration if the name ends with .json"`
}

// current returns the configuration in force, or an empty one with revision 0.
func (c *client) current() (*config.Config, error) {
	current := &config.Config{}
	err := c.get("/config", current)
	var refused *problem
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return &config.Config{}, nil
	}
	return current, err
}

// comparison is what a revision would change.
type comparison struct {
	// Revision is the revision in force.
	Revision   uint64            `json:"revision"`
	Difference config.Difference `json:"difference"`
	Hazards    config.Hazards    `json:"hazards"`
}

func compare(current, next *config.Config, answers config.HostResponds) comparison {
	planned := next.Clone()
	planned.Stops = current.Stops
	result := comparison{Revision: current.Revision, Difference: current.Diff(planned)}
	if current.Revision > 0 {
		result.Hazards = current.FindHazards(planned, answers)
	}
	return result
}

func (s *session) printComparison(c comparison) {
	s.printDifference(c)
	for _, hazard := range c.Hazards {
		s.printf("%s\n", s.paint(bad, "hazard: "+hazard.String()))
	}
}

func (s *session) printDifference(c comparison) {
	s.printf("in force: revision %d\n", c.Revision)
	if c.Difference.IsEmpty() {
		s.printf("no change\n")
	}
	for _, change := range c.Difference.Changes {
		s.printf("%s\n", s.paint(changeStyle(change.Kind), change.String()))
	}
	for _, moves := range c.Difference.Moves {
		s.printf("%s\n", moves)
	}
}

func changeStyle(kind config.ChangeKind) style {
	switch kind {
	case config.ChangeAdded:
		return good
	case config.ChangeRemoved:
		return bad
	default:
		return notice
	}
}
