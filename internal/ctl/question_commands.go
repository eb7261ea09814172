package ctl

import (
	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

type statusCommand struct {
	session *session
}

// Execute shows the deployment.
func (c *statusCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	gateway, err := c.session.client("")
	if err != nil {
		return err
	}
	var status admin.Status
	if err := gateway.get("/status", &status); err != nil {
		return err
	}
	if c.session.options.JSON {
		return c.session.printJSON(status)
	}
	c.session.printf("team %s, revision %d, as %s sees it\n\n", status.Team, status.Revision, status.Host)
	c.hosts(status)
	c.cells(status)
	c.services(status)
	return nil
}

func (c *statusCommand) hosts(status admin.Status) {
	rows := &table{}
	rows.head("HOST", "ZONE", "CELL", "STATE", "REVISION")
	for _, host := range status.Hosts {
		rows.row(host.Name, host.Zone, host.Cell, stateCell(host.State), host.Revision)
	}
	rows.print(c.session)
	c.session.printf("\n")
}

func (c *statusCommand) cells(status admin.Status) {
	rows := &table{}
	rows.head("CELL", "GENERATION", "TERM", "HOLDER", "SUCCESSOR", "ARBITER")
	for _, cell := range status.Cells {
		rows.row(cell.Name, cell.Generation, cell.Term, orDash(cell.Holder), orDash(cell.Successor), orDash(cell.Arbiter))
	}
	rows.print(c.session)
	c.session.printf("\n")
}

func (c *statusCommand) services(status admin.Status) {
	rows := &table{}
	rows.head("SERVICE", "SERVER", "ZONE", "STATE", "HOME", "RUNNING", "SLOTS", "QUEUED", "PARTITIONS")
	for _, service := range status.Services {
		for _, server := range service.Servers {
			rows.row(service.Name, server.Name, server.Zone, stateCell(server.State), orDash(server.Home),
				server.Running, server.Slots, server.Queued, server.Partitions)
		}
	}
	rows.print(c.session)
}

func stateCell(state admin.State) cell {
	switch state {
	case admin.StateUp:
		return cell{string(state), good}
	case admin.StateLeaving:
		return cell{string(state), notice}
	case admin.StateDown:
		return cell{string(state), bad}
	default:
		return cell{text: string(state)}
	}
}

type ownersCommand struct {
	session *session
	Service string `long:"service" value-name:"NAME" description:"Ask for one service. Default: every service that is divided by key"`
	Args    struct {
		Key string `positional-arg-name:"KEY" required:"yes" description:"The key, as callers send it in Plank-Key"`
	} `positional-args:"yes"`
}

// Execute shows the owners.
func (c *ownersCommand) Execute(args []string) error {
	if err := noRest(args); err != nil {
		return err
	}
	gateway, err := c.session.client("")
	if err != nil {
		return err
	}
	services, err := c.services(gateway)
	if err != nil {
		return err
	}
	owners := make([]admin.Ownership, len(services))
	for i, service := range services {
		if err := gateway.get("/owners/"+segment(service)+"/"+segment(c.Args.Key), &owners[i]); err != nil {
			return errors.Wrapf(err, "service %s", service)
		}
	}
	if c.session.options.JSON {
		return c.session.printJSON(owners)
	}
	rows := &table{}
	rows.head("SERVICE", "PARTITION", "CELL", "SERVER", "HOME", "TOKEN", "STATE")
	for _, owner := range owners {
		rows.row(owner.Service, owner.Partition, orDash(owner.Cell), orDash(owner.Server), orDash(owner.Home), orDash(owner.Token), ownerState(owner))
	}
	rows.print(c.session)
	return nil
}

func ownerState(owner admin.Ownership) cell {
	switch {
	case owner.Moving:
		return cell{"moving", notice}
	case owner.Server == "":
		return cell{"no owner", bad}
	case owner.HotKey:
		return cell{"hot key", notice}
	default:
		return cell{"owned", good}
	}
}

// services returns the services to ask for.
func (c *ownersCommand) services(gateway *client) ([]string, error) {
	if c.Service != "" {
		return []string{c.Service}, nil
	}
	current, err := gateway.current()
	if err != nil {
		return nil, err
	}
	var keyed []string
	for _, service := range current.Services {
		if service.Keyed {
			keyed = append(keyed, service.Name)
		}
	}
	if len(keyed) == 0 {
		return nil, errors.New("no service is divided by key; plankctl status shows all services")
	}
	return keyed, nil
}

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
