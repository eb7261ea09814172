package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
)

// parallelQueries bounds the gateways that one question for the status asks at a time.
const parallelQueries = 16

// cellAnswer is what a gateway knows of its cell.
type cellAnswer struct {
	Revision uint64               `json:"revision"`
	Ready    bool                 `json:"ready"`
	Cell     admin.CellStatus     `json:"cell"`
	Servers  []admin.ServerStatus `json:"servers"`
}

// Status returns the state of the deployment. It asks every gateway for its cell.
func (s *sources) Status(ctx context.Context, team string) (*admin.Status, error) {
	view, err := s.view(team)
	if err != nil {
		return nil, err
	}
	answers := s.askAll(ctx, view)
	status := &admin.Status{Team: team, Host: view.Self, Revision: view.Config.Revision}
	cells := make(map[string]*cellAnswer)
	for i, host := range view.Config.Hosts {
		status.Hosts = append(status.Hosts, hostStatus(host, answers[i]))
		if answers[i] != nil {
			cells[host.Cell] = newer(cells[host.Cell], answers[i])
		}
	}
	for _, name := range view.Config.Cells() {
		status.Cells = append(status.Cells, cellStatus(view.Config, name, cells[name]))
	}
	servers := serversByName(answers)
	for i := range view.Config.Services {
		status.Services = append(status.Services, serviceStatus(&view.Config.Services[i], servers))
	}
	return status, nil
}

// askAll returns the answer of each host of the configuration, or nil.
func (s *sources) askAll(ctx context.Context, view *gateway.RoutingTable) []*cellAnswer {
	answers := make([]*cellAnswer, len(view.Config.Hosts))
	group := new(errgroup.Group)
	group.SetLimit(parallelQueries)
	for i, host := range view.Config.Hosts {
		group.Go(func() error {
			if host.Name == view.Self {
				answers[i] = s.cellHere(view)
				return nil
			}
			answer := new(cellAnswer)
			if s.node.ask(ctx, host, query{Kind: queryCell, Team: view.Config.Team}, answer) == nil {
				answers[i] = answer
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return answers
}

// newer returns the answer with the later authority.
func newer(a, b *cellAnswer) *cellAnswer {
	if a == nil || a.Cell.Generation < b.Cell.Generation ||
		a.Cell.Generation == b.Cell.Generation && a.Cell.Term < b.Cell.Term {
		return b
	}
	return a
}

func hostStatus(host config.Host, answer *cellAnswer) admin.HostStatus {
	status := admin.HostStatus{Name: host.Name, Zone: host.Zone, Cell: host.Cell, State: admin.StateDown}
	if answer == nil {
		return status
	}
	status.Revision = answer.Revision
	status.State = admin.StateUp
	if !answer.Ready {
		status.State = admin.StateLeaving
	}
	return status
}

func cellStatus(c *config.Config, name string, answer *cellAnswer) admin.CellStatus {
	if answer == nil {
		return admin.CellStatus{Name: name, Zone: c.CellHosts(name)[0].Zone}
	}
	return answer.Cell
}

// serversByName keeps the answer of each server's home, and any other if the home did not answer.
func serversByName(answers []*cellAnswer) map[string]admin.ServerStatus {
	servers := make(map[string]admin.ServerStatus)
	for _, answer := range answers {
		if answer == nil {
			continue
		}
		for _, server := range answer.Servers {
			known, ok := servers[server.Name]
			if !ok || server.Running+server.Queued > known.Running+known.Queued {
				servers[server.Name] = server
			}
		}
	}
	return servers
}

func serviceStatus(service *config.Service, servers map[string]admin.ServerStatus) admin.ServiceStatus {
	status := admin.ServiceStatus{Name: service.Name, Keyed: service.Keyed}
	for _, server := range service.Servers {
		entry, ok := servers[server.Name]
		if !ok {
			entry = admin.ServerStatus{Name: server.Name, Zone: server.Zone, Slots: service.Slots, State: admin.StateUnknown}
		}
		status.Servers = append(status.Servers, entry)
	}
	return status
}

// cellHere returns what this gateway knows of its cell.
func (s *sources) cellHere(view *gateway.RoutingTable) *cellAnswer {
	snapshot := view.Snapshot
	answer := &cellAnswer{Revision: view.Config.Revision, Ready: s.node.gateway.Ready()}
	answer.Cell = admin.CellStatus{
		Name: view.Cell, Generation: snapshot.Generation, Term: snapshot.Term,
		Holder: snapshot.Holder, Successor: snapshot.Successor, Arbiter: snapshot.Arbiter,
	}
	if self, ok := view.Config.Host(view.Self); ok {
		answer.Cell.Zone = self.Zone
	}
	for i := range view.Config.Services {
		answer.Servers = append(answer.Servers, s.serversHere(view, &view.Config.Services[i])...)
	}
	return answer
}

func (s *sources) serversHere(view *gateway.RoutingTable, service *config.Service) []admin.ServerStatus {
	partitions := make(map[string]int)
	if owned := view.Snapshot.Services[service.Name]; owned != nil {
		for _, owner := range owned.Owners {
			partitions[owner.Server]++
		}
	}
	var servers []admin.ServerStatus
	for _, server := range service.Servers {
		known, ok := view.Snapshot.Servers[server.Name]
		if !ok {
			continue
		}
		status := admin.ServerStatus{
			Name: server.Name, Zone: server.Zone, State: serverState(known.State), Home: known.Home,
			Slots: service.Slots, Partitions: partitions[server.Name],
		}
		if entry, isHome := (*s.node.homes.byServer.Load())[server.Name]; isHome {
			report := entry.dispatcher.Report()
			status.Running, status.Queued = report.InProgress, report.Queued
		}
		servers = append(servers, status)
	}
	return servers
}

func serverState(state cell.ServerState) admin.State {
	switch state {
	case cell.ServerDown:
		return admin.StateDown
	case cell.ServerDraining:
		return admin.StateLeaving
	default:
		return admin.StateUp
	}
}
