package ctl

import "github.com/sapphireplank/sapphireplank/internal/admin"

type explainCommand struct {
	session *session
	Args    struct {
		Request string `positional-arg-name:"REQUEST" required:"yes" description:"Request id"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	gateway, err := c.session.newClient("")
	if err != nil {
		return err
	}
	var explanation admin.Explanation
	if err := gateway.get("/explain/"+escapePathSegment(c.Args.Request), &explanation); err != nil {
		return err
	}
	if c.session.options.JSON {
		return c.session.printJSON(explanation)
	}
	c.session.printf("request %s: %s; %s\n", explanation.Request, explanation.Outcome, explanation.Summary)
	output := &table{}
	output.header("EVENT", "HOST", "SERVER", "DETAIL")
	for _, event := range explanation.Events {
		output.add(string(event.Kind), orDash(event.Host), orDash(event.Server), event.Detail)
	}
	output.print(c.session)
	return nil
}
