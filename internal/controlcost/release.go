package controlcost

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// releaseDelay is the time that a home needs to finish the requests in progress before it confirms a release.
const releaseDelay = 20 * time.Millisecond

// confirmReleases confirms, after releaseDelay, all releases that the snapshot asks of the homes of this gateway.
func (m *member) confirmReleases() {
	r := m.pendingReleases()
	if len(r.Released)+len(r.ReleasedServers) == 0 {
		return
	}
	processID := m.processID
	m.fleet.after(releaseDelay, func() {
		if m.processID == processID {
			m.step(func(now time.Duration) cell.Output { return m.node.Report(now, r) })
		}
	})
}

func (m *member) pendingReleases() cell.Report {
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
