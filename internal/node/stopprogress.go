package node

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
)

// StopProgress returns how far each planned stop has come. The work of hosts and servers in other cells is not known
// here; their stops name a zone whose gateways know.
func (s *sources) StopProgress(_ context.Context, team string) ([]admin.StopProgress, error) {
	view, err := s.view(team)
	if err != nil {
		return nil, err
	}
	list := make([]admin.StopProgress, 0, len(view.Config.Stops))
	for _, stop := range view.Config.Stops {
		list = append(list, s.progress(view, stop))
	}
	return list, nil
}

func (s *sources) progress(view *gateway.View, stop config.Stop) admin.StopProgress {
	p := admin.StopProgress{Target: stop.Target, At: stop.At, ForSeconds: stop.ForSeconds}
	now := wallClock()
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

func (s *sources) hostProgress(view *gateway.View, host *config.Host, p *admin.StopProgress) {
	if host.Cell != view.Cell {
		p.Detail = "ask a gateway in zone " + host.Zone
		return
	}
	for _, server := range view.Snapshot.Servers {
		if server.Home == host.Name {
			p.Homes++
		}
	}
	if host.Name == view.Self {
		p.Running = int(s.node.gateway.Active())
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

func (s *sources) serverProgress(view *gateway.View, p *admin.StopProgress) {
	server, ok := view.Snapshot.Servers[p.Target]
	if !ok {
		p.Detail = "ask a gateway in the zone of the backend server"
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
