package ctl

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

// followInterval is the pause between two questions for the progress of a stop.
const followInterval = time.Second

type listCommand struct {
	session *session
	Once    bool `long:"once" description:"Show the progress of HOST once and do not wait"`
	Args    struct {
		Host string `positional-arg-name:"HOST" description:"Host or backend server whose progress is followed"`
	} `positional-args:"yes"`
}

// errNotSafe is returned if a stop ends before its target is empty.
var errNotSafe = errors.New("the target is not empty; announce the stop again")

// Execute lists the stops, or follows one until its target is empty.
func (c *listCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	gateway, err := c.session.client("")
	if err != nil {
		return err
	}
	if c.Args.Host == "" {
		return c.all(gateway)
	}
	return c.follow(gateway)
}

func (c *listCommand) all(gateway *client) error {
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
	rows := &table{}
	rows.head("HOST", "AT", "FOR", "STATE", "HOMES", "RUNNING", "DETAIL")
	for _, stop := range list.Stops {
		rows.row(stop.Target, stop.At.Format(time.RFC3339), time.Duration(stop.ForSeconds)*time.Second,
			cell{string(stop.State), stopStyle(stop.State)}, stop.Homes, stop.Running, stop.Detail)
	}
	rows.print(c.session)
	return nil
}

func stopStyle(state admin.StopState) style {
	switch state {
	case admin.StopEmpty:
		return good
	case admin.StopDraining:
		return notice
	default:
		return plain
	}
}

// follow prints each change of the progress. A gateway that does not answer is asked again a few times.
func (c *listCommand) follow(gateway *client) error {
	last, failures := "", 0
	for {
		stop, err := c.progress(gateway)
		switch {
		case err == nil:
			failures = 0
			last = c.show(stop, last)
			if stop.IsSafe() || c.Once || stop.State == admin.StopOver {
				return c.end(stop)
			}
		case c.Once || failures >= maxFailures || !isPassing(err):
			return err
		default:
			failures++
		}
		if err := c.session.program.Sleep(c.session.ctx, followInterval); err != nil {
			return errors.Wrap(err, "stopped waiting")
		}
	}
}

// maxFailures is the number of questions in a row that may fail while a stop is followed.
const maxFailures = 10

// isPassing reports whether the same question can succeed later.
func isPassing(err error) bool {
	var refused *problem
	return errors.Is(err, errGateway) || errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable
}

// show prints the progress if it is not the same as the last line, and returns the line.
func (c *listCommand) show(stop admin.StopProgress, last string) string {
	line := progressLine(stop)
	if line != last && !c.session.options.JSON {
		c.session.printf("%s\n", line)
	}
	return line
}

func (c *listCommand) progress(gateway *client) (admin.StopProgress, error) {
	var list admin.StopList
	if err := gateway.get("/stops", &list); err != nil {
		return admin.StopProgress{}, err
	}
	at := slices.IndexFunc(list.Stops, func(p admin.StopProgress) bool { return p.Target == c.Args.Host })
	if at < 0 {
		return admin.StopProgress{}, errors.Newf("no planned stop of %s; plankctl stop announce announces one", c.Args.Host)
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

// end prints the last line. Only an empty target is safe to stop.
func (c *listCommand) end(stop admin.StopProgress) error {
	if c.session.options.JSON {
		if err := c.session.printJSON(stop); err != nil {
			return err
		}
	}
	switch {
	case stop.IsSafe() && !c.session.options.JSON:
		c.session.printf("%s\n", c.session.paint(good, "safe to stop"))
	case stop.State == admin.StopOver:
		return errNotSafe
	}
	return nil
}
