package ctl

import (
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

type diffCommand struct {
	session *session
	Against flags.Filename `long:"against" value-name:"FILE" description:"Questionnaire or configuration to compare with. Default: the configuration in force"`
	Args    configFileArg  `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	next, err := readConfig(string(c.Args.File))
	if err != nil {
		return err
	}
	current, hostResponds, err := c.baseline(next.Team)
	if err != nil {
		return err
	}
	result := compareConfigs(current, next, hostResponds)
	if c.session.options.JSON {
		return c.session.printJSON(result)
	}
	c.session.printComparison(result)
	return nil
}

// baseline returns the configuration to compare with and which of its hosts are available.
func (c *diffCommand) baseline(team string) (*config.Config, config.HostResponds, error) {
	if c.Against != "" {
		current, err := readConfig(string(c.Against))
		return current, allHostsUp, err
	}
	gateway, err := c.session.newClient(team)
	if err != nil {
		return nil, nil, err
	}
	current, err := gateway.currentConfig()
	return current, gateway.hostAvailability(), err
}
