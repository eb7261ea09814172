package ctl

import "github.com/sapphireplank/sapphireplank/internal/admin"

type explainCommand struct {
	session *session
	Args    struct {
		Request string `positional-arg-name:"REQUEST" required:"yes" description:"Request id"`
	} `positional-args:"yes"`
}

// Execute explains a request.
func (c *explainCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	gateway, err := c.session.client("")
	if err != nil {
		return err
	}
	var explanation admin.Explanation
	if err := gateway.get("/explain/"+segment(c.Args.Request), &explanation); err != nil {
		return err
	}
	if c.session.options.JSON {
		return c.session.printJSON(explanation)
	}
	c.session.printf("request %s: %s; %s\n", explanation.Request, explanation.Outcome, explanation.Summary)
	rows := &table{}
	rows.head("EVENT", "HOST", "SERVER", "DETAIL")
	for _, event := range explanation.Events {
		rows.row(string(event.Kind), orDash(event.Host), orDash(event.Server), event.Detail)
	}
	rows.print(c.session)
	return nil
}
