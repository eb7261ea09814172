package ctl

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

type acceptCommand struct {
	session     *session
	Revision    *uint64       `long:"revision" value-name:"NUMBER" description:"Revision that diff showed; required unless nothing is in force yet"`
	Acknowledge []string      `long:"acknowledge" value-name:"KIND" description:"Kind of a hazard listed by diff to accept; can be repeated"`
	Change      string        `long:"change" value-name:"TEXT" description:"Description of the change for other operators, at most 400 bytes. Default: the difference"`
	ID          string        `long:"id" value-name:"ID" description:"Id of an earlier accept to repeat because its response was lost. Default: a new one"`
	Args        configFileArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *acceptCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	next, err := readConfig(string(c.Args.File))
	if err != nil {
		return err
	}
	gateway, err := c.session.newClient(next.Team)
	if err != nil {
		return err
	}
	current, err := gateway.currentConfig()
	if err != nil {
		return err
	}
	// Hazards are not printed here: the gateway decides on them and reports them itself.
	result := compareConfigs(current, next, allHostsUp)
	if !c.session.options.JSON {
		c.session.printDifference(result)
	}
	if result.Difference.IsEmpty() && c.ID == "" && (c.Revision == nil || *c.Revision == current.Revision) {
		return c.printResult(current, "nothing to accept")
	}
	if c.Revision == nil && current.Revision > 0 {
		return newUsageError("review these changes and repeat the command with --revision %d", current.Revision)
	}
	accepted, err := c.submit(gateway, current, next, result.Difference)
	if err != nil {
		return err
	}
	return c.printResult(accepted, "accepted: revision "+strconv.FormatUint(accepted.Revision, 10)+
		", in force everywhere within 7 s")
}

func (c *acceptCommand) submit(gateway *client, current, next *config.Config, difference config.Difference) (*config.Config, error) {
	baseRevision := uint64(0)
	if c.Revision != nil {
		baseRevision = *c.Revision
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
	if baseRevision > 0 {
		headers = map[string]string{"If-Match": strconv.Quote(strconv.FormatUint(baseRevision, 10))}
	}
	document, err := next.Encode()
	if err != nil {
		return nil, err
	}
	accepted := &config.Config{}
	r := apiRequest{method: http.MethodPut, path: "/config?" + query.Encode(), headers: headers, body: document}
	return accepted, gateway.sendChange(r, id, accepted)
}

func (c *acceptCommand) printResult(accepted *config.Config, line string) error {
	if c.session.options.JSON {
		return c.session.printJSON(accepted)
	}
	c.session.printf("%s\n", c.session.colorize(success, line))
	return nil
}
