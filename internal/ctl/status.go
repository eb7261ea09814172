package ctl

import "github.com/sapphireplank/sapphireplank/internal/admin"

type statusCommand struct {
	session *session
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	gateway, err := c.session.newClient("")
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
	c.printHosts(status)
	c.printCells(status)
	c.printServices(status)
	return nil
}

func (c *statusCommand) printHosts(status admin.Status) {
	output := &table{}
	output.header("HOST", "ZONE", "CELL", "STATE", "REVISION")
	for _, host := range status.Hosts {
		output.add(host.Name, host.Zone, host.Cell, stateCell(host.State), host.Revision)
	}
	output.print(c.session)
	c.session.printf("\n")
}

func (c *statusCommand) printCells(status admin.Status) {
	output := &table{}
	output.header("CELL", "GENERATION", "TERM", "HOLDER", "SUCCESSOR", "ARBITER")
	for _, cell := range status.Cells {
		output.add(cell.Name, cell.Generation, cell.Term, orDash(cell.Holder), orDash(cell.Successor), orDash(cell.Arbiter))
	}
	output.print(c.session)
	c.session.printf("\n")
}

func (c *statusCommand) printServices(status admin.Status) {
	output := &table{}
	output.header("SERVICE", "SERVER", "ZONE", "STATE", "HOME", "RUNNING", "SLOTS", "QUEUED", "PARTITIONS")
	for _, service := range status.Services {
		for _, server := range service.Servers {
			output.add(service.Name, server.Name, server.Zone, stateCell(server.State), orDash(server.Home),
				server.Running, server.Slots, server.Queued, server.Partitions)
		}
	}
	output.print(c.session)
}

func stateCell(state admin.State) tableCell {
	switch state {
	case admin.StateUp:
		return tableCell{string(state), success}
	case admin.StateLeaving:
		return tableCell{string(state), warning}
	case admin.StateDown:
		return tableCell{string(state), failure}
	default:
		return tableCell{text: string(state)}
	}
}
