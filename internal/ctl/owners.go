package ctl

import (
	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

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
