package ctl

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/admin"
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

func compare(current, next *config.Config, answers config.Answers) comparison {
	planned := next.Clone()
	planned.Stops = current.Stops
	result := comparison{Revision: current.Revision, Difference: current.Diff(planned)}
	if current.Revision > 0 {
		result.Hazards = current.Unsafe(planned, answers)
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

type diffCommand struct {
	session *session
	Against flags.Filename `long:"against" value-name:"FILE" description:"Questionnaire or configuration to compare with. Default: the configuration in force"`
	Args    revisionFile   `positional-args:"yes" required:"yes"`
}

// Execute shows the difference.
func (c *diffCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	next, err := readConfig(string(c.Args.File))
	if err != nil {
		return err
	}
	current, answers, err := c.before(next.Team)
	if err != nil {
		return err
	}
	result := compare(current, next, answers)
	if c.session.options.JSON {
		return c.session.printJSON(result)
	}
	c.session.printComparison(result)
	return nil
}

// before returns the configuration to compare with and which of its hosts answer.
func (c *diffCommand) before(team string) (*config.Config, config.Answers, error) {
	if c.Against != "" {
		current, err := readConfig(string(c.Against))
		return current, everyHost, err
	}
	gateway, err := c.session.client(team)
	if err != nil {
		return nil, nil, err
	}
	current, err := gateway.current()
	return current, gateway.answers(), err
}

func everyHost(config.Host) bool { return true }

// answers returns which hosts answer according to the gateway. A host without a report counts as one that answers.
func (c *client) answers() config.Answers {
	var status admin.Status
	if err := c.get("/status", &status); err != nil {
		return everyHost
	}
	down := make(map[string]bool)
	for _, host := range status.Hosts {
		down[host.Name] = host.State == admin.StateDown
	}
	return func(host config.Host) bool { return !down[host.Name] }
}

type acceptCommand struct {
	session     *session
	Revision    *uint64      `long:"revision" value-name:"NUMBER" description:"Revision that you saw. Default: the revision in force"`
	Acknowledge []string     `long:"acknowledge" value-name:"KIND" description:"Accept a hazard that diff lists, by its kind; can be repeated"`
	Change      string       `long:"change" value-name:"TEXT" description:"What the other operators read about the change, at most 400 bytes. Default: the difference"`
	ID          string       `long:"id" value-name:"ID" description:"Id of an accept that you repeat, because its answer was lost. Default: a new one"`
	Args        revisionFile `positional-args:"yes" required:"yes"`
}

// Execute accepts the configuration.
func (c *acceptCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	next, err := readConfig(string(c.Args.File))
	if err != nil {
		return err
	}
	gateway, err := c.session.client(next.Team)
	if err != nil {
		return err
	}
	current, err := gateway.current()
	if err != nil {
		return err
	}
	// The gateway lists the hazards itself, because it decides on them.
	result := compare(current, next, everyHost)
	if !c.session.options.JSON {
		c.session.printDifference(result)
	}
	if result.Difference.IsEmpty() && c.ID == "" && (c.Revision == nil || *c.Revision == current.Revision) {
		return c.done(current, "nothing to accept")
	}
	accepted, err := c.send(gateway, current, next, result.Difference)
	if err != nil {
		return err
	}
	return c.done(accepted, "accepted: revision "+strconv.FormatUint(accepted.Revision, 10)+
		", in force everywhere within 7 s")
}

func (c *acceptCommand) send(gateway *client, current, next *config.Config, difference config.Difference) (*config.Config, error) {
	seen := current.Revision
	if c.Revision != nil {
		seen = *c.Revision
	}
	id := c.ID
	if id == "" {
		id = c.session.program.NewID()
	}
	query := url.Values{"acknowledge": c.Acknowledge}
	if c.Change != "" {
		query.Set("change", c.Change)
	} else if current.Revision > 0 {
		query.Set("change", difference.Summary())
	}
	headers := map[string]string{"If-None-Match": "*"}
	if seen > 0 {
		headers = map[string]string{"If-Match": strconv.Quote(strconv.FormatUint(seen, 10))}
	}
	accepted := &config.Config{}
	m := message{method: http.MethodPut, path: "/config?" + query.Encode(), headers: headers, body: next}
	return accepted, gateway.change(m, id, accepted)
}

func (c *acceptCommand) done(accepted *config.Config, line string) error {
	if c.session.options.JSON {
		return c.session.printJSON(accepted)
	}
	c.session.printf("%s\n", c.session.paint(good, line))
	return nil
}
