package ctl

import (
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/questionnaire"
)

type initCommand struct {
	session *session
	Args    struct {
		File flags.Filename `positional-arg-name:"FILE" description:"File to write, or - for the standard output"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *initCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	if c.Args.File == "-" {
		c.session.printf("%s", questionnaire.Template)
		return nil
	}
	if err := writeNewFile(string(c.Args.File), questionnaire.Template); err != nil {
		return err
	}
	c.session.printf("wrote %s; answer the questions and run plankctl check %s\n", c.Args.File, c.Args.File)
	return nil
}
