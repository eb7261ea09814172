package ctl

import (
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/questionnaire"
)

type checkCommand struct {
	session *session
	Args    struct {
		File flags.Filename `positional-arg-name:"FILE" description:"Questionnaire"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks the questionnaire.
func (c *checkCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	result, err := readQuestionnaire(string(c.Args.File))
	if err != nil {
		return err
	}
	if c.session.options.JSON {
		return c.session.printJSON(struct {
			Faults []config.ValidationError `json:"faults"`
		}{[]config.ValidationError{}})
	}
	servers := 0
	for _, service := range result.Config.Services {
		servers += len(service.Servers)
	}
	c.session.printf("%s has no faults: %d zones, %d hosts, %d services, %d backend servers\n", c.Args.File,
		len(result.Config.Zones), len(result.Config.Hosts), len(result.Config.Services), servers)
	return nil
}

// readQuestionnaire reads a questionnaire and generates its configuration.
func readQuestionnaire(name string) (*questionnaire.Result, error) {
	text, err := readFile(name)
	if err != nil {
		return nil, err
	}
	return questionnaire.GenerateFromText(text)
}
