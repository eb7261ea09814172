package node

import (
	"context"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
)

// Status returns the state of the deployment as this gateway sees it. It knows its own cell exactly and the others by
// configuration only.
func (s *sources) Status(_ context.Context, team string) (*admin.Status, error) {
	view, err := s.view(team)
	if err != nil {
		return nil, err
	}
	status := &admin.Status{Team: team, Host: view.Self, Revision: view.Config.Revision}
	for _, host := range view.Config.Hosts {
		status.Hosts = append(status.Hosts, s.hostStatus(view, host))
	}
	for _, name := range view.Config.Cells() {
		status.Cells = append(status.Cells, cellStatus(view, name))
	}
	for i := range view.Config.Services {
		status.Services = append(status.Services, s.serviceStatus(view, &view.Config.Services[i]))
	}
	return status, nil
}

func (s *sources) hostStatus(view *gateway.View, host config.Host) admin.HostStatus {
	status := admin.HostStatus{Name: host.Name, Zone: host.Zone, Cell: host.Cell, State: admin.StateUnknown}
	switch {
	case host.Name == view.Self:
		status.State, status.Revision = admin.StateUp, view.Config.Revision
		if !s.node.gateway.Ready() {
			status.State = admin.StateLeaving
		}
	case s.node.answers(host):
		status.State = admin.StateUp
	default:
		status.State = admin.StateDown
	}
	return status
}

func cellStatus(view *gateway.View, name string) admin.CellStatus {
	hosts := view.Config.CellHosts(name)
	status := admin.CellStatus{Name: name, Zone: hosts[0].Zone}
	if name == view.Cell {
		snapshot := view.Snapshot
		status.Generation, status.Term = snapshot.Generation, snapshot.Term
		status.Holder, status.Successor, status.Arbiter = snapshot.Holder, snapshot.Successor, snapshot.Arbiter
	}
	return status
}

func (s *sources) serviceStatus(view *gateway.View, service *config.Service) admin.ServiceStatus {
	status := admin.ServiceStatus{Name: service.Name, Keyed: service.Keyed}
	partitions := make(map[string]int)
	if owned := view.Snapshot.Services[service.Name]; owned != nil {
		for _, owner := range owned.Owners {
			partitions[owner.Server]++
		}
	}
	for _, server := range service.Servers {
		entry := s.serverStatus(view, service, server)
		entry.Partitions = partitions[server.Name]
		status.Servers = append(status.Servers, entry)
	}
	return status
}

func (s *sources) serverStatus(view *gateway.View, service *config.Service, server config.Server) admin.ServerStatus {
	known, ok := view.Snapshot.Servers[server.Name]
	status := admin.ServerStatus{Name: server.Name, Zone: server.Zone, Slots: service.Slots, Home: known.Home}
	status.State = serverState(known.State, ok)
	if entry, ok := (*s.node.homes.byServer.Load())[server.Name]; ok {
		report := entry.dispatcher.Report()
		status.Running, status.Queued = report.InProgress, report.Queued
	}
	return status
}

func serverState(state cell.ServerState, known bool) admin.State {
	switch {
	case !known:
		return admin.StateUnknown
	case state == cell.ServerDown:
		return admin.StateDown
	case state == cell.ServerDraining:
		return admin.StateLeaving
	default:
		return admin.StateUp
	}
}
