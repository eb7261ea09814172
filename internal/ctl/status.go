package ctl

import "github.com/sapphireplank/sapphireplank/internal/admin"

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
