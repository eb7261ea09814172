package ctl

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// configFileArg is the positional argument of diff and accept.
type configFileArg struct {
	File flags.Filename `positional-arg-name:"FILE" description:"Questionnaire, or generated configuration if the name ends with .json"`
}

// currentConfig returns the configuration in force, or an empty one with revision 0 if there is none.
func (c *client) currentConfig() (*config.Config, error) {
	current := &config.Config{}
	err := c.get("/config", current)
	var problem *problemError
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return &config.Config{}, nil
	}
	return current, err
}

// comparison describes what accepting a configuration would change.
type comparison struct {
	// Revision is the revision of the configuration in force.
	Revision   uint64            `json:"revision"`
	Difference config.Difference `json:"difference"`
	Hazards    config.Hazards    `json:"hazards"`
}

// compareConfigs compares next with the current configuration. Planned stops are not part of the comparison, because an
// accept keeps them. Hazards are determined only if current has been accepted, which gives it a revision above 0.
func compareConfigs(current, next *config.Config, hostResponds config.HostResponds) comparison {
	planned := next.Clone()
	planned.Stops = current.Stops
	result := comparison{Revision: current.Revision, Difference: current.Diff(planned)}
	if current.Revision > 0 {
		result.Hazards = current.FindHazards(planned, hostResponds)
	}
	return result
}

func (s *session) printComparison(c comparison) {
	s.printDifference(c)
	for _, hazard := range c.Hazards {
		s.printf("%s\n", s.colorize(failure, "hazard: "+hazard.String()))
	}
}

func (s *session) printDifference(c comparison) {
	s.printf("in force: revision %d\n", c.Revision)
	if c.Difference.IsEmpty() {
		s.printf("no change\n")
	}
	for _, change := range c.Difference.Changes {
		s.printf("%s\n", s.colorize(changeStyle(change.Kind), change.String()))
	}
	for _, moves := range c.Difference.Moves {
		s.printf("%s\n", moves)
	}
}

func changeStyle(kind config.ChangeKind) style {
	switch kind {
	case config.ChangeAdded:
		return success
	case config.ChangeRemoved:
		return failure
	default:
		return warning
	}
}
