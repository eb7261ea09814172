package ctl

import "net/http"

type cancelCommand struct {
	session *session
	ID      string     `long:"id" value-name:"ID" description:"Id of a cancellation that you repeat. Default: a new one"`
	Args    stopTarget `positional-args:"yes"`
}

// Execute cancels the stop.
func (c *cancelCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	m := message{method: http.MethodDelete, path: "/stops/" + segment(c.Args.Host)}
	return c.session.changeStops(m, c.ID, "canceled: "+c.Args.Host+" does not stop")
}
