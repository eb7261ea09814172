package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

type stopAnnounceCommand struct {
	session *session
	At      string        `long:"at" value-name:"TIME" required:"yes" description:"Start: now, a duration from now such as +10m, or a time such as 2026-01-31T14:00:00Z"`
	For     time.Duration `long:"for" value-name:"DURATION" required:"yes" description:"Length with a unit, such as 30m or 2h; whole seconds, at most 168h"`
	ID      string        `long:"id" value-name:"ID" description:"Id of an earlier announcement to repeat. Default: a new one"`
	Args    stopTargetArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *stopAnnounceCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	at, err := c.session.parseTime(c.At)
	if err != nil {
		return err
	}
	if c.For < time.Second || c.For%time.Second != 0 {
		return newUsageError("--for %s is not a number of whole seconds", c.For)
	}
	body, err := json.Marshal(admin.StopRequest{Target: c.Args.Host, At: at, ForSeconds: int64(c.For / time.Second)})
	if err != nil {
		return errors.Wrap(err, "encode the announcement")
	}
	r := apiRequest{method: http.MethodPost, path: "/stops", body: body}
	line := fmt.Sprintf("announced: %s stops at %s for %s; follow it with plankctl stop list %s",
		c.Args.Host, at.Format(time.RFC3339), c.For, c.Args.Host)
	return c.session.submitStopChange(r, c.ID, line)
}
