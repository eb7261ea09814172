package ctl

import "net/http"

type stopCancelCommand struct {
	session *session
	ID      string        `long:"id" value-name:"ID" description:"Id of an earlier cancellation to repeat. Default: a new one"`
	Args    stopTargetArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *stopCancelCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	r := apiRequest{method: http.MethodDelete, path: "/stops/" + escapePathSegment(c.Args.Host)}
	return c.session.submitStopChange(r, c.ID, "canceled: "+c.Args.Host+" does not stop")
}
