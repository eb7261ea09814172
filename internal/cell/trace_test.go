package cell

import (
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// describe formats a message for the trace.
func describe(m *wire.Control) string {
	t := func(d *wire.TableDelta) string {
		if d == nil {
			return "no table"
		}
		return fmt.Sprintf("table %d %d->%d whole %v", d.Generation, d.From, d.To, d.Whole)
	}
	switch b := m.Body.(type) {
	case *wire.Control_Heartbeat:
		return fmt.Sprintf("heartbeat %d, table %d.%d", b.Heartbeat.Seq, b.Heartbeat.TableGeneration, b.Heartbeat.TableVersion)
	case *wire.Control_HeartbeatReply:
		return fmt.Sprintf("reply %d, lease %v, %s", b.HeartbeatReply.Seq, b.HeartbeatReply.Lease, t(b.HeartbeatReply.Table))
	case *wire.Control_Renew:
		return fmt.Sprintf("renew %d, install %v, %s", b.Renew.Seq, b.Renew.Install, t(b.Renew.Table))
	}
	return fmt.Sprintf("%T", m.Body)
}

// dump adds the state of all gateways to the trace.
func (w *simulation) dump() {
	for _, host := range w.hosts {
		g := w.gateways[host]
		n := g.node
		w.logf("  %s: %s, down %v, paused %v, table %d.%d, pair %+v, lease %v, now %v",
			host, n.Role(), g.down, g.paused, n.table.generation, n.table.version, n.pair, n.local.leaseEnd, g.local())
		if s := n.table.services["keyed"]; s != nil {
			w.logf("    hot %v, owners %v", s.hotKeys, s.owners)
		}
		for _, name := range w.serverNames {
			if e := n.table.servers[name]; e != nil {
				w.logf("    %s: home %s, token %v, releasing %v, %s", name, e.home.Host, e.token, e.releasing, e.state)
			}
		}
	}
}
