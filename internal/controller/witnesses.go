package controller

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// yieldDelay is how much later a gateway campaigns that does not know the tables of a lost history. It exceeds the delays
// of the others.
const yieldDelay = 2500 * time.Millisecond

// confirmTimeout is how long a table of an earlier era that is not confirmed is not recorded. Meanwhile another gateway can
// continue from it as well as this one.
const confirmTimeout = 3 * time.Second

// rememberTables determines which of the known tables are those of the history that the store has lost, rather than what
// this process found in an earlier copy when it started.
func (c *Controller) rememberTables() {
	for service, table := range c.tables {
		c.remembered[service] = kv.Era(table.Era) == c.asOf.Era || c.remembered[service]
	}
	clear(c.witnesses)
}

// knownTables returns the versions of the tables that this gateway remembers, or that were recorded in the latest era that
// it knows.
func (c *Controller) knownTables() []*wire.KnownTable {
	var known []*wire.KnownTable
	for service, table := range c.tables {
		if c.remembered[service] || kv.Era(table.Era) == c.asOf.Era {
			known = append(known, &wire.KnownTable{Service: service, NextToken: uint64(table.NextToken)})
		}
	}
	return known
}

// yieldCampaign leaves the next election to gateways that remember the tables of a lost history, if this one does not.
func (c *Controller) yieldCampaign() {
	for service, table := range c.tables {
		if kv.Era(table.Era) < c.asOf.Era && !c.remembered[service] {
			c.election.DelayCampaign(boottime.Now() + yieldDelay)
		}
	}
}

// hearWitness records the tables that another gateway remembers, and confirms those from which the assigners continue.
func (c *Controller) hearWitness(host string, known []*wire.KnownTable) {
	for _, table := range known {
		witnesses := c.witnesses[table.Service]
		if witnesses == nil {
			witnesses = make(map[string]ownership.Token)
			c.witnesses[table.Service] = witnesses
		}
		witnesses[host] = ownership.Token(table.NextToken)
	}
	for service, a := range c.assigners {
		c.confirmTable(service, a)
	}
}

// confirmTable confirms the table from which an assigner continues, if most gateways remember its service and none of them
// a newer table: the elected gateway sends each change to all others as soon as it is recorded.
func (c *Controller) confirmTable(service string, a *assignment) {
	if a.assigner == nil || !a.awaitsConfirmation() || !c.remembered[service] {
		return
	}
	witnesses := c.witnesses[service]
	if !c.areMostGateways(len(witnesses)) {
		return
	}
	for _, token := range witnesses {
		if token > a.continuedFrom {
			return
		}
	}
	a.confirmed = true
	a.assigner.ConfirmTable()
	c.Log.WithField("service", service).WithField("gateways", len(witnesses)+1).Info("ownership table of the lost history confirmed")
}
