package ctl

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/sapphireplank/sapphireplank/internal/questionnaire"
)

type generateCommand struct {
	session *session
	Output  flags.Filename `short:"o" long:"output" value-name:"FILE" description:"File to write. Default: the standard output"`
	Explain bool           `long:"explain" description:"Print how each derived value follows from the answers, in place of the configuration"`
	Args    struct {
		File flags.Filename `positional-arg-name:"FILE" description:"Questionnaire"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *generateCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	result, err := readQuestionnaire(string(c.Args.File))
	if err != nil {
		return err
	}
	if _, err := result.Config.Encode(); err != nil {
		return err
	}
	document, err := json.MarshalIndent(result.Config, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	if c.Output != "" {
		if err := writeFile(string(c.Output), append(document, '\n')); err != nil {
			return err
		}
		c.session.printf("wrote %s\n", c.Output)
	}
	if c.Explain {
		return c.explain(result.Derivations)
	}
	if c.Output == "" {
		c.session.printf("%s\n", document)
	}
	return nil
}

func (c *generateCommand) explain(derivations []questionnaire.Derivation) error {
	if c.session.options.JSON {
		return c.session.printJSON(derivations)
	}
	for _, derivation := range derivations {
		c.session.printf("%s\n", derivation)
	}
	return nil
}
