package ctl

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

type acceptCommand struct {
	session     *session
	Revision    *uint64      `long:"revision" value-name:"NUMBER" description:"Revision that diff showed; required unless nothing is in force yet"`
	Acknowledge []string     `long:"acknowledge" value-name:"KIND" description:"Accept a hazard that diff lists, by its kind; can be repeated"`
	Change      string       `long:"change" value-name:"TEXT" description:"What the other operators read about the change, at most 400 bytes. Default: the difference"`
	ID          string       `long:"id" value-name:"ID" description:"Id of an accept that you repeat, because its answer was lost. Default: a new one"`
	Args        revisionFile `positional-args:"yes" required:"yes"`
}

// Execute accepts the configuration.
func (c *acceptCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	next, err := readConfig(string(c.Args.File))
	if err != nil {
		return err
	}
	gateway, err := c.session.client(next.Team)
	if err != nil {
		return err
	}
	current, err := gateway.current()
	if err != nil {
		return err
	}
	// The gateway lists the hazards itself, because it decides on them.
	result := compare(current, next, everyHost)
	if !c.session.options.JSON {
		c.session.printDifference(result)
	}
	if result.Difference.IsEmpty() && c.ID == "" && (c.Revision == nil || *c.Revision == current.Revision) {
		return c.done(current, "nothing to accept")
	}
	if c.Revision == nil && current.Revision > 0 {
		return usage("look at these changes and repeat the command with --revision %d", current.Revision)
	}
	accepted, err := c.send(gateway, current, next, result.Difference)
	if err != nil {
		return err
	}
	return c.done(accepted, "accepted: revision "+strconv.FormatUint(accepted.Revision, 10)+
		", in force everywhere within 7 s")
}

func (c *acceptCommand) send(gateway *client, current, next *config.Config, difference config.Difference) (*config.Config, error) {
	seen := uint64(0)
	if c.Revision != nil {
		seen = *c.Revision
	}
	id := c.ID
	if id == "" {
		id = c.session.program.NewID()
	}
	query := url.Values{"acknowledge": c.Acknowledge}
	if c.Change != "" {
		query.Set("change", c.Change)
	} else if current.Revision > 0 {
		query.Set("change", difference.Summary())
	}
	headers := map[string]string{"If-None-Match": "*"}
	if seen > 0 {
		headers = map[string]string{"If-Match": strconv.Quote(strconv.FormatUint(seen, 10))}
	}
	document, err := next.Encode()
	if err != nil {
		return nil, err
	}
	accepted := &config.Config{}
	m := message{method: http.MethodPut, path: "/config?" + query.Encode(), headers: headers, body: document}
	return accepted, gateway.change(m, id, accepted)
}

func (c *acceptCommand) done(accepted *config.Config, line string) error {
	if c.session.options.JSON {
		return c.session.printJSON(accepted)
	}
	c.session.printf("%s\n", c.session.paint(good, line))
	return nil
}
