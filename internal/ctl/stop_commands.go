package ctl

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

// followInterval is the pause between two questions for the progress of a stop.
const followInterval = time.Second

// stopTarget is the argument of the stop commands.
type stopTarget struct {
	Host string `positional-arg-name:"HOST" description:"Host or backend server" required:"yes"`
}

type announceCommand struct {
	session *session
	At      string        `long:"at" value-name:"TIME" required:"yes" description:"Start: now, a duration from now such as +10m, or a time such as 2026-01-31T14:00:00Z"`
	For     time.Duration `long:"for" value-name:"DURATION" required:"yes" description:"Length with a unit, such as 30m or 2h; whole seconds, at most 168h"`
	ID      string        `long:"id" value-name:"ID" description:"Id of an announcement that you repeat. Default: a new one"`
	Args    stopTarget    `positional-args:"yes"`
}

// Execute announces the stop.
func (c *announceCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	at, err := c.session.parseTime(c.At)
	if err != nil {
		return err
	}
	if c.For < time.Second || c.For%time.Second != 0 {
		return usage("--for %s is not a number of whole seconds", c.For)
	}
	request := admin.StopRequest{Target: c.Args.Host, At: at, ForSeconds: int64(c.For / time.Second)}
	m := message{method: http.MethodPost, path: "/stops", body: request}
	line := fmt.Sprintf("announced: %s stops at %s for %s; follow it with plankctl stop list %s",
		c.Args.Host, at.Format(time.RFC3339), c.For, c.Args.Host)
	return c.session.changeStops(m, c.ID, line)
}

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

// changeStops sends an announcement or a cancellation.
func (s *session) changeStops(m message, id, line string) error {
	gateway, err := s.client("")
	if err != nil {
		return err
	}
	if id == "" {
		id = s.program.NewID()
	}
	accepted := &config.Config{}
	if err := gateway.change(m, id, accepted); err != nil {
		return err
	}
	if s.options.JSON {
		return s.printJSON(accepted.Stops)
	}
	s.printf("%s\n", line)
	return nil
}

// parseTime reads now, a duration from now, or a time with its zone.
func (s *session) parseTime(text string) (time.Time, error) {
	now := s.program.Now().UTC().Truncate(time.Second)
	if text == "now" {
		return now, nil
	}
	if text != "" && text[0] == '+' {
		if d, err := time.ParseDuration(text[1:]); err == nil {
			return now.Add(d), nil
		}
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, usage("--at %q is not a time; use now, +10m or 2026-01-31T14:00:00Z", text)
	}
	return at.UTC(), nil
}

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
		if err := c.session.program.Wait(c.session.ctx, followInterval); err != nil {
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
