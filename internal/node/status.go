package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
)

// maxParallelQueries limits the gateways that one status request queries concurrently.
const maxParallelQueries = 16

// cellResponse is the state of a cell as seen by one of its gateways.
type cellResponse struct {
	Revision uint64               `json:"revision"`
	Ready    bool                 `json:"ready"`
	Cell     admin.CellStatus     `json:"cell"`
	Servers  []admin.ServerStatus `json:"servers"`
}

// Status returns the state of the deployment. It queries every gateway for the state of its cell.
func (s *adminSources) Status(ctx context.Context, team string) (*admin.Status, error) {
	table, err := s.routingTable(team)
	if err != nil {
		return nil, err
	}
	responses := s.queryAllGateways(ctx, table)
	status := &admin.Status{Team: team, Host: table.Self, Revision: table.Config.Revision}
	cells := make(map[string]*cellResponse)
	for i, host := range table.Config.Hosts {
		status.Hosts = append(status.Hosts, hostStatus(host, responses[i]))
		if responses[i] != nil {
			cells[host.Cell] = newerResponse(cells[host.Cell], responses[i])
		}
	}
	for _, name := range table.Config.Cells() {
		status.Cells = append(status.Cells, cellStatus(table.Config, name, cells[name]))
	}
	servers := serversByName(responses)
	for i := range table.Config.Services {
		status.Services = append(status.Services, serviceStatus(&table.Config.Services[i], servers))
	}
	return status, nil
}

// queryAllGateways returns the responses in the order of the configured hosts, with nil for each host that did not
// respond.
func (s *adminSources) queryAllGateways(ctx context.Context, table *gateway.RoutingTable) []*cellResponse {
	responses := make([]*cellResponse, len(table.Config.Hosts))
	group := new(errgroup.Group)
	group.SetLimit(maxParallelQueries)
	for i, host := range table.Config.Hosts {
		group.Go(func() error {
			if host.Name == table.Self {
				responses[i] = s.localCellResponse(table)
				return nil
			}
			response := new(cellResponse)
			if s.node.sendQuery(ctx, host, query{Kind: queryCell, Team: table.Config.Team}, response) == nil {
				responses[i] = response
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return responses
}

// newerResponse returns the response with the greater generation and term.
func newerResponse(a, b *cellResponse) *cellResponse {
	if a == nil || a.Cell.Generation < b.Cell.Generation ||
		a.Cell.Generation == b.Cell.Generation && a.Cell.Term < b.Cell.Term {
		return b
	}
	return a
}

func hostStatus(host config.Host, response *cellResponse) admin.HostStatus {
	status := admin.HostStatus{Name: host.Name, Zone: host.Zone, Cell: host.Cell, State: admin.StateDown}
	if response == nil {
		return status
	}
	status.Revision = response.Revision
	status.State = admin.StateUp
	if !response.Ready {
		status.State = admin.StateLeaving
	}
	return status
}

func cellStatus(c *config.Config, name string, response *cellResponse) admin.CellStatus {
	if response == nil {
		return admin.CellStatus{Name: name, Zone: c.CellHosts(name)[0].Zone}
	}
	return response.Cell
}

// serversByName returns one status per server. Only the response of the server's home gateway counts requests, so the
// status with the most requests is taken.
func serversByName(responses []*cellResponse) map[string]admin.ServerStatus {
	servers := make(map[string]admin.ServerStatus)
	for _, response := range responses {
		if response == nil {
			continue
		}
		for _, server := range response.Servers {
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

// localCellResponse returns the state of the cell as seen by this gateway.
func (s *adminSources) localCellResponse(table *gateway.RoutingTable) *cellResponse {
	snapshot := table.Snapshot
	response := &cellResponse{Revision: table.Config.Revision, Ready: s.node.gateway.Ready()}
	response.Cell = admin.CellStatus{
		Name: table.Cell, Generation: snapshot.Generation, Term: snapshot.Term,
		Holder: snapshot.Holder, Successor: snapshot.Successor, Arbiter: snapshot.Arbiter,
	}
	if self, ok := table.Config.Host(table.Self); ok {
		response.Cell.Zone = self.Zone
	}
	for i := range table.Config.Services {
		response.Servers = append(response.Servers, s.localServers(table, &table.Config.Services[i])...)
	}
	return response
}

func (s *adminSources) localServers(table *gateway.RoutingTable, service *config.Service) []admin.ServerStatus {
	partitions := make(map[string]int)
	if owned := table.Snapshot.Services[service.Name]; owned != nil {
		for _, owner := range owned.Owners {
			partitions[owner.Server]++
		}
	}
	var servers []admin.ServerStatus
	for _, server := range service.Servers {
		view, ok := table.Snapshot.Servers[server.Name]
		if !ok {
			continue
		}
		status := admin.ServerStatus{
			Name: server.Name, Zone: server.Zone, State: serverState(view.State), Home: view.Home,
			Slots: service.Slots, Partitions: partitions[server.Name],
		}
		if entry, isHome := (*s.node.dispatchers.byServer.Load())[server.Name]; isHome {
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
