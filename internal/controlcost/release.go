package controlcost

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// releaseTime is the time that a home takes to finish the requests of what it releases.
const releaseTime = 20 * time.Millisecond

// release confirms everything that the snapshot asks the homes of this gateway to release.
func (m *member) release() {
	r := m.released()
	if len(r.Released)+len(r.ReleasedServers) == 0 {
		return
	}
	life := m.life
	m.fleet.after(releaseTime, func() {
		if m.life == life {
			m.step(func(now time.Duration) cell.Output { return m.node.Report(now, r) })
		}
	})
}

func (m *member) released() cell.Report {
	var r cell.Report
	s := m.node.Snapshot()
	for name, server := range s.Servers {
		if server.Local && server.Releasing {
			r.ReleasedServers = append(r.ReleasedServers, cell.ServerRelease{Server: name, Token: server.Token})
		}
	}
	for service, view := range s.Services {
		for p, owner := range view.Owners {
			if owner.Releasing && s.Servers[owner.Server].Local {
				r.Released = append(r.Released, cell.UnitRelease{Service: service, Partition: keyspace.Partition(p), Token: owner.Token})
			}
		}
		for key, owner := range view.HotKeys {
			if owner.Releasing && s.Servers[owner.Server].Local {
				r.Released = append(r.Released, cell.UnitRelease{Service: service, Key: key, Token: owner.Token})
			}
		}
	}
	return r
}
