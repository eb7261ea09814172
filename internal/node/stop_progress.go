package node

import (
	"context"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
)

// StopProgress returns the progress of each planned stop. For a target in another cell, it queries the gateways of that
// cell.
func (s *adminSources) StopProgress(ctx context.Context, team string) ([]admin.StopProgress, error) {
	table, err := s.routingTable(team)
	if err != nil {
		return nil, err
	}
	accepted, err := s.configs.Current(ctx, team)
	if err != nil {
		return nil, err
	}
	list := make([]admin.StopProgress, 0, len(accepted.Stops))
	for _, stop := range accepted.Stops {
		if slices.Contains(table.Config.Stops, stop) {
			list = append(list, s.stopProgress(ctx, table, stop))
			continue
		}
		list = append(list, admin.StopProgress{Target: stop.Target, At: stop.At, ForSeconds: stop.ForSeconds,
			State: admin.StopAnnounced, Detail: "accepted, not in force here yet"})
	}
	return list, nil
}

func (s *adminSources) stopProgress(ctx context.Context, table *gateway.RoutingTable, stop config.Stop) admin.StopProgress {
	local := s.localStopProgress(table, stop, time.Now())
	cellName := targetCell(table.Config, stop.Target)
	if local.State != admin.StopDraining || cellName == table.Cell {
		return local
	}
	remote := admin.StopProgress{}
	q := query{Kind: queryStop, Team: table.Config.Team, Stop: stop}
	if err := s.node.queryFirstResponding(ctx, moveHostToFront(table.Config.CellHosts(cellName), stop.Target), q, &remote); err != nil {
		local.Detail = "no gateway of the cell " + cellName + " answers"
		return local
	}
	return remote
}

// targetCell returns the cell of a host or backend server.
func targetCell(c *config.Config, target string) string {
	if host, ok := c.Host(target); ok {
		return host.Cell
	}
	for i := range c.Services {
		for _, server := range c.Services[i].Servers {
			if server.Name == target {
				return server.Cell
			}
		}
	}
	return ""
}

// moveHostToFront moves the host with the given name to the front, because only its gateway counts its own requests.
func moveHostToFront(hosts []config.Host, name string) []config.Host {
	slices.SortStableFunc(hosts, func(a, b config.Host) int {
		switch {
		case a.Name == name:
			return -1
		case b.Name == name:
			return 1
		default:
			return 0
		}
	})
	return hosts
}

// localStopProgress returns the progress of a planned stop as seen by this gateway. While the target drains, only the
// gateways of its cell know the progress.
func (s *adminSources) localStopProgress(table *gateway.RoutingTable, stop config.Stop, now time.Time) admin.StopProgress {
	p := admin.StopProgress{Target: stop.Target, At: stop.At, ForSeconds: stop.ForSeconds}
	switch {
	case now.After(stop.At.Add(time.Duration(stop.ForSeconds) * time.Second)):
		p.State = admin.StopOver
		return p
	case now.Before(stop.At):
		p.State = admin.StopAnnounced
		return p
	}
	p.State = admin.StopDraining
	if host, ok := table.Config.Host(stop.Target); ok {
		s.fillHostProgress(table, host, &p)
	} else {
		s.fillServerProgress(table, &p)
	}
	return p
}

func (s *adminSources) fillHostProgress(table *gateway.RoutingTable, host *config.Host, p *admin.StopProgress) {
	for _, server := range table.Snapshot.Servers {
		if server.Home == host.Name {
			p.Homes++
		}
	}
	if host.Name == table.Self {
		p.Running = int(s.node.gateway.InFlight())
	}
	switch {
	case p.Homes > 0:
		p.Detail = "backend servers still have their home here"
	case table.Snapshot.Holder == host.Name:
		p.Detail = "the host still decides ownership in its cell"
	default:
		p.State = admin.StopEmpty
	}
}

func (s *adminSources) fillServerProgress(table *gateway.RoutingTable, p *admin.StopProgress) {
	server, ok := table.Snapshot.Servers[p.Target]
	if !ok {
		p.Detail = "the cell does not know the backend server yet"
		return
	}
	owned := 0
	if service := table.Snapshot.Services[server.Service]; service != nil {
		for _, owner := range service.Owners {
			if owner.Server == p.Target {
				owned++
			}
		}
	}
	if entry, isHome := (*s.node.dispatchers.byServer.Load())[p.Target]; isHome {
		p.Running = entry.dispatcher.Report().InProgress
	}
	if owned == 0 && p.Running == 0 {
		p.State = admin.StopEmpty
		return
	}
	p.Detail = "partitions or requests are left"
}
