package ctl

import (
	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

type ownersCommand struct {
	session *session
	Service string `long:"service" value-name:"NAME" description:"Ask for one service. Default: every service that is divided by key"`
	Args    struct {
		Key string `positional-arg-name:"KEY" required:"yes" description:"The key, as clients send it in Plank-Key"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *ownersCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	gateway, err := c.session.newClient("")
	if err != nil {
		return err
	}
	services, err := c.servicesToQuery(gateway)
	if err != nil {
		return err
	}
	owners := make([]admin.Ownership, len(services))
	for i, service := range services {
		if err := gateway.get("/owners/"+escapePathSegment(service)+"/"+escapePathSegment(c.Args.Key), &owners[i]); err != nil {
			return errors.Wrapf(err, "service %s", service)
		}
	}
	if c.session.options.JSON {
		return c.session.printJSON(owners)
	}
	output := &table{}
	output.header("SERVICE", "PARTITION", "CELL", "SERVER", "HOME", "TOKEN", "STATE")
	for _, owner := range owners {
		output.add(owner.Service, owner.Partition, orDash(owner.Cell), orDash(owner.Server), orDash(owner.Home), orDash(owner.Token), ownerStateCell(owner))
	}
	output.print(c.session)
	return nil
}

func ownerStateCell(owner admin.Ownership) tableCell {
	switch {
	case owner.Moving:
		return tableCell{"moving", warning}
	case owner.Server == "":
		return tableCell{"no owner", failure}
	case owner.HotKey:
		return tableCell{"hot key", warning}
	default:
		return tableCell{"owned", success}
	}
}

// servicesToQuery returns the service given on the command line, or all sharded services.
func (c *ownersCommand) servicesToQuery(gateway *client) ([]string, error) {
	if c.Service != "" {
		return []string{c.Service}, nil
	}
	current, err := gateway.currentConfig()
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
