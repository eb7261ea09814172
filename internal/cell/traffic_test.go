package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// largeConfig returns a configuration with one cell and with host and server names as long as in a deployment.
func largeConfig(hosts, servers, partitions int) *config.Config {
	c := &config.Config{Revision: 48213, Zones: []config.Zone{{Name: "brno-hall"}}}
	for i := range hosts {
		c.Hosts = append(c.Hosts, config.Host{Name: fmt.Sprintf("brno-hall-entry-%02d", i+1), Zone: "brno-hall", Cell: "c1"})
	}
	s := config.Service{Name: "tracker", Keyed: true, Partitions: partitions, Fenced: true, MaxRequestMillis: 400}
	for i := range servers {
		s.Servers = append(s.Servers, config.Server{Name: fmt.Sprintf("brno-hall-tracker-%02d", i+1), Zone: "brno-hall", Cell: "c1"})
	}
	c.Services = []config.Service{s}
	return c
}

// holderBytes returns the bytes per second of a holder and of a member, and the messages per second of the holder, in
// steady state with load reports.
func holderBytes(hosts, partitions int) (holder, member, messages float64) {
	w := newSimulation(7, largeConfig(hosts, 16, partitions), faults{})
	w.skipHomes = true
	w.run(8 * time.Second)
	report := func() {
		for _, host := range w.hosts {
			g := w.gateways[host]
			var r Report
			for p := range 64 {
				r.Load = append(r.Load, PartitionLoad{Service: "tracker", Partition: keyspace.Partition(p * partitions / 64), Load: float64(p)})
			}
			for name, view := range g.node.Snapshot().Servers {
				if view.Local {
					r.ServerLoad = append(r.ServerLoad, ServerLoad{Server: name, Load: 2.5})
				}
			}
			for k := range 4 {
				r.HotKeys = append(r.HotKeys, KeyLoad{Service: "tracker", Key: fmt.Sprintf("shipment-%08d", k), Load: 0.1})
			}
			g.runStep(func() Output { return g.node.Report(g.local(), r) })
		}
	}
	holderGateway := w.holder()
	var other *gateway
	for _, host := range w.hosts {
		if g := w.gateways[host]; g != holderGateway && host != holderGateway.node.pair.Successor.Host {
			other = g
		}
	}
	before, beforeMember := holderGateway.node.Counters(), Counters{}
	if other != nil {
		beforeMember = other.node.Counters()
	}
	const seconds = 30
	for range seconds {
		report()
		w.run(time.Second)
	}
	after := holderGateway.node.Counters()
	bytes := func(a, b Counters) float64 {
		return float64(b.SentBytes+b.ReceivedBytes-a.SentBytes-a.ReceivedBytes) / seconds
	}
	if other != nil {
		member = bytes(beforeMember, other.node.Counters())
	}
	return bytes(before, after), member, float64(after.SentMessages+after.ReceivedMessages-before.SentMessages-before.ReceivedMessages) / seconds
}

// TestHolderTraffic guards against control traffic above 9 KB/s at the holder of a cell with the largest number of
// hosts.
func TestHolderTraffic(t *testing.T) {
	for _, hosts := range []int{3, 6, config.MaxCellHosts} {
		holder, member, messages := holderBytes(hosts, 1024)
		t.Logf("%d members: holder %.0f B/s in %.1f messages/s, member %.0f B/s", hosts, holder, messages, member)
		if holder >= 9000 {
			t.Errorf("%d members: holder has %.0f B/s, the bound is 9000", hosts, holder)
		}
	}
}

// BenchmarkOwnerOf measures the owner lookup that every request makes.
func BenchmarkOwnerOf(b *testing.B) {
	v := &ServiceView{Owners: make([]Owner, 65536), HotKeys: make(map[string]Owner)}
	for i := range v.Owners {
		v.Owners[i].Server = "brno-hall-tracker-01"
	}
	for i := range maxOverrides {
		v.HotKeys[fmt.Sprintf("shipment-%08d", i)] = v.Owners[i]
	}
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = fmt.Sprintf("shipment-%08d", rand.Uint32N(2*maxOverrides))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if v.OwnerOf(keys[i%len(keys)]).Server == "" {
			b.Fatal("no owner")
		}
	}
}

// BenchmarkHolderTick measures one Tick of a holder with 12 members, without the messages between ticks. With plan,
// each tick also runs the default assignment policy, as after a load report.
func BenchmarkHolderTick(b *testing.B) {
	for _, c := range []struct {
		partitions int
		plan       bool
	}{{1024, false}, {65536, false}, {1024, true}, {65536, true}} {
		partitions := c.partitions
		b.Run(fmt.Sprintf("partitions=%d/plan=%v", partitions, c.plan), func(b *testing.B) {
			w := newSimulation(7, largeConfig(config.MaxCellHosts, 16, partitions), faults{})
			w.skipHomes = true
			w.run(8 * time.Second)
			g := w.holder()
			b.ReportAllocs()
			for b.Loop() {
				w.now += TickInterval
				g.node.holder.acknowledgedAt = g.local()
				g.node.holder.authorityEnd = g.local() + AuthorityLease
				for _, record := range g.node.holder.members {
					record.lastSeenAt, record.leaseEnd = g.local(), g.local()+HomeLease
				}
				g.node.holder.planDue = c.plan
				g.node.Tick(g.local())
			}
		})
	}
}

// BenchmarkHolderSecond measures the control work of a holder in one second of steady state.
func BenchmarkHolderSecond(b *testing.B) {
	for _, hosts := range []int{3, 6, config.MaxCellHosts} {
		b.Run(fmt.Sprintf("members=%d", hosts), func(b *testing.B) {
			w := newSimulation(7, largeConfig(hosts, 16, 1024), faults{})
			w.skipHomes = true
			w.run(8 * time.Second)
			g := w.holder()
			before := g.node.Counters()
			b.ResetTimer()
			for range b.N {
				w.run(time.Second)
			}
			after := g.node.Counters()
			b.ReportMetric(float64(after.SentBytes+after.ReceivedBytes-before.SentBytes-before.ReceivedBytes)/float64(b.N), "holder-B/s")
		})
	}
}
