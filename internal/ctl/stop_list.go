package ctl

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

// pollInterval is the interval between two queries for the progress of a stop.
const pollInterval = time.Second

type stopListCommand struct {
	session *session
	Once    bool `long:"once" description:"Show the progress of HOST once and do not wait"`
	Args    struct {
		Host string `positional-arg-name:"HOST" description:"Host or backend server whose progress is followed"`
	} `positional-args:"yes"`
}

// errTargetNotEmpty is returned if the planned stop ends before its target is empty.
var errTargetNotEmpty = errors.New("the planned stop ended before its target was empty; announce it again")

// Execute lists all planned stops, or follows one until its target is empty.
func (c *stopListCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	gateway, err := c.session.newClient("")
	if err != nil {
		return err
	}
	if c.Args.Host == "" {
		return c.listAll(gateway)
	}
	return c.follow(gateway)
}

func (c *stopListCommand) listAll(gateway *client) error {
	var list admin.StopList
	if err := gateway.get("/stops", &list); err != nil {
		return err
	}
	if c.session.options.JSON {
		return c.session.printJSON(list)
	}
	if len(list.Stops) == 0 {
		c.session.printf("no planned stops\n")
		return nil
	}
	output := &table{}
	output.header("HOST", "AT", "FOR", "STATE", "HOMES", "RUNNING", "DETAIL")
	for _, stop := range list.Stops {
		output.add(stop.Target, stop.At.Format(time.RFC3339), time.Duration(stop.ForSeconds)*time.Second,
			tableCell{string(stop.State), stopStyle(stop.State)}, stop.Homes, stop.Running, stop.Detail)
	}
	output.print(c.session)
	return nil
}

func stopStyle(state admin.StopState) style {
	switch state {
	case admin.StopEmpty:
		return success
	case admin.StopDraining:
		return warning
	default:
		return plain
	}
}

// follow polls the progress of a stop and prints each change. It tolerates up to maxConsecutiveFailures transient
// errors in a row.
func (c *stopListCommand) follow(gateway *client) error {
	last, failures := "", 0
	for {
		stop, err := c.fetchProgress(gateway)
		switch {
		case err == nil:
			failures = 0
			last = c.printIfChanged(stop, last)
			if stop.IsSafe() || c.Once || stop.State == admin.StopOver {
				return c.finish(stop)
			}
		case c.Once || failures >= maxConsecutiveFailures || !isTransient(err):
			return err
		default:
			failures++
		}
		if err := c.session.program.Sleep(c.session.ctx, pollInterval); err != nil {
			return errors.Wrap(err, "interrupted while following the stop")
		}
	}
}

// maxConsecutiveFailures is the number of consecutive queries that may fail while a stop is followed.
const maxConsecutiveFailures = 10

// isTransient reports whether a retry of the same query may succeed.
func isTransient(err error) bool {
	var problem *problemError
	return errors.Is(err, errGatewayUnreachable) || errors.As(err, &problem) && problem.Status == http.StatusServiceUnavailable
}

// printIfChanged prints the progress line unless it equals last or JSON output is selected, and returns the line.
func (c *stopListCommand) printIfChanged(stop admin.StopProgress, last string) string {
	line := progressLine(stop)
	if line != last && !c.session.options.JSON {
		c.session.printf("%s\n", line)
	}
	return line
}

func (c *stopListCommand) fetchProgress(gateway *client) (admin.StopProgress, error) {
	var list admin.StopList
	if err := gateway.get("/stops", &list); err != nil {
		return admin.StopProgress{}, err
	}
	at := slices.IndexFunc(list.Stops, func(p admin.StopProgress) bool { return p.Target == c.Args.Host })
	if at < 0 {
		return admin.StopProgress{}, errors.Newf("no planned stop for %s; announce one with plankctl stop announce", c.Args.Host)
	}
	return list.Stops[at], nil
}

func progressLine(p admin.StopProgress) string {
	line := fmt.Sprintf("%s %s: home of %d backend servers, %d requests running", p.Target, p.State, p.Homes, p.Running)
	if p.Detail != "" {
		line += ", " + p.Detail
	}
	return line
}

// finish prints the final output. Only an empty target is reported as safe to stop.
func (c *stopListCommand) finish(stop admin.StopProgress) error {
	if c.session.options.JSON {
		if err := c.session.printJSON(stop); err != nil {
			return err
		}
	}
	switch {
	case stop.IsSafe() && !c.session.options.JSON:
		c.session.printf("%s\n", c.session.colorize(success, "safe to stop"))
	case stop.State == admin.StopOver:
		return errTargetNotEmpty
	}
	return nil
}
