package node

import (
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/home"
)

// reportConverter converts the reports of one dispatcher to reports for the cell's state machine.
type reportConverter struct {
	dispatchers *dispatchers
	backend     backendConfig
}

// convert is called on the dispatcher's goroutine.
func (c *reportConverter) convert(r home.Report) {
	service := c.backend.service.Name
	c.dispatchers.metrics.SetServerLoad(r.Server, r.Queued, r.InProgress)
	report := cell.Report{
		Servers: []cell.ServerReport{{
			Server:   r.Server,
			Up:       r.Health != home.HealthDown,
			Draining: r.Health == home.HealthDraining,
			WorkEnd:  c.dispatchers.sinceStart(r.WorkEnd),
		}},
	}
	for _, released := range r.Released {
		report.Released = append(report.Released, cell.UnitRelease{
			Service:   service,
			Partition: released.Scope.Partition,
			Key:       released.Scope.HotKey,
			Token:     released.Token,
		})
	}
	c.addLoad(&report, r)
	c.dispatchers.reporter.Report(report)
}

func (c *reportConverter) addLoad(report *cell.Report, r home.Report) {
	service := c.backend.service.Name
	total := 0.0
	for _, load := range r.Loads {
		slots := load.SlotTime.Seconds() / home.LoadInterval.Seconds()
		total += slots
		if load.Scope.HotKey != "" {
			report.HotKeys = append(report.HotKeys, cell.KeyLoad{Service: service, Key: load.Scope.HotKey, Load: slots})
			continue
		}
		report.Load = append(report.Load, cell.PartitionLoad{Service: service, Partition: load.Scope.Partition, Load: slots})
	}
	for _, key := range r.HotKeys {
		slots := float64(key.Requests) * r.ServiceTime.Seconds() / home.LoadInterval.Seconds()
		report.HotKeys = append(report.HotKeys, cell.KeyLoad{Service: service, Key: key.Key, Load: slots})
	}
	if len(r.Loads) > 0 {
		report.ServerLoad = []cell.ServerLoad{{Server: r.Server, Load: total}}
	}
}
