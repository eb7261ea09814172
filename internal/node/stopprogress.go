package node

import (
	"context"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
)

// StopProgress returns how far each planned stop has come. Gateways of the target's cell answer for it.
func (s *sources) StopProgress(ctx context.Context, team string) ([]admin.StopProgress, error) {
	view, err := s.view(team)
	if err != nil {
		return nil, err
	}
	accepted, err := s.configurer.Current(ctx, team)
	if err != nil {
		return nil, err
	}
	list := make([]admin.StopProgress, 0, len(accepted.Stops))
	for _, stop := range accepted.Stops {
		if slices.Contains(view.Config.Stops, stop) {
			list = append(list, s.progress(ctx, view, stop))
			continue
		}
		list = append(list, admin.StopProgress{Target: stop.Target, At: stop.At, ForSeconds: stop.ForSeconds,
			State: admin.StopAnnounced, Detail: "accepted, not in force here yet"})
	}
	return list, nil
}

func (s *sources) progress(ctx context.Context, view *gateway.RoutingTable, stop config.Stop) admin.StopProgress {
	here := s.progressHere(view, stop, time.Now())
	cellName := targetCell(view.Config, stop.Target)
	if here.State != admin.StopDraining || cellName == view.Cell {
		return here
	}
	remote := admin.StopProgress{}
	q := query{Kind: queryStop, Team: view.Config.Team, Stop: stop}
	if err := s.node.askCell(ctx, hostsFirst(view.Config.CellHosts(cellName), stop.Target), q, &remote); err != nil {
		here.Detail = "no gateway of the cell " + cellName + " answers"
		return here
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

// hostsFirst puts the host with the given name first, which knows its own requests.
func hostsFirst(hosts []config.Host, name string) []config.Host {
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

// progressHere returns what this gateway knows of a planned stop in its cell.
func (s *sources) progressHere(view *gateway.RoutingTable, stop config.Stop, now time.Time) admin.StopProgress {
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
	if host, ok := view.Config.Host(stop.Target); ok {
		s.hostProgress(view, host, &p)
	} else {
		s.serverProgress(view, &p)
	}
	return p
}

func (s *sources) hostProgress(view *gateway.RoutingTable, host *config.Host, p *admin.StopProgress) {
	for _, server := range view.Snapshot.Servers {
		if server.Home == host.Name {
			p.Homes++
		}
	}
	if host.Name == view.Self {
		p.Running = int(s.node.gateway.InFlight())
	}
	switch {
	case p.Homes > 0:
		p.Detail = "backend servers still have their home here"
	case view.Snapshot.Holder == host.Name:
		p.Detail = "the host still decides ownership in its cell"
	default:
		p.State = admin.StopEmpty
	}
}

func (s *sources) serverProgress(view *gateway.RoutingTable, p *admin.StopProgress) {
	server, ok := view.Snapshot.Servers[p.Target]
	if !ok {
		p.Detail = "the cell does not know the backend server yet"
		return
	}
	owned := 0
	if service := view.Snapshot.Services[server.Service]; service != nil {
		for _, owner := range service.Owners {
			if owner.Server == p.Target {
				owned++
			}
		}
	}
	if entry, isHome := (*s.node.homes.byServer.Load())[p.Target]; isHome {
		p.Running = entry.dispatcher.Report().InProgress
	}
	if owned == 0 && p.Running == 0 {
		p.State = admin.StopEmpty
		return
	}
	p.Detail = "partitions or requests are left"
}
