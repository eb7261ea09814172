package ctl

import (
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

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
func (c *diffCommand) before(team string) (*config.Config, config.HostResponds, error) {
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
