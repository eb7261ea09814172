package controller

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
	"github.com/sapphireplank/sapphireplank/internal/election"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
)

// observeCallEra processes the era in which the store answered a call other than those of the mirror.
func (c *Controller) observeCallEra(era kv.Era) {
	if c.observeEra(era) {
		c.restartMirror()
	}
}

// observeEra processes the era in which the store answered, and reports whether the store came back from an earlier copy.
// The known revisions mean nothing any more then: the elected gateway writes again what it knows.
func (c *Controller) observeEra(era kv.Era) bool {
	unbroken := c.termIsUnbroken()
	if !c.election.ObserveEra(boottime.Now(), era, unbroken) {
		return false
	}
	c.termUnbroken = unbroken
	c.rememberTables()
	c.Log.WithField("era", era).WithField("known", c.asOf).Warning("store came back from an earlier copy; reading it again")
	c.directory.RecordRestore(c.Clock())
	c.zones.RecordRestore(c.Clock())
	for _, a := range c.assigners {
		a.revision = kv.Revision{}
		if a.assigner != nil {
			a.assigner.MarkUnrecorded()
		}
	}
	return true
}

// termIsUnbroken reports whether this gateway, if it acts as the elected one, cannot have been replaced: its lease was
// confirmed just now, or most gateways still take it for the elected one. They leave it when they see another one elected.
func (c *Controller) termIsUnbroken() bool {
	switch c.election.State() {
	case election.StateReclaiming:
		return c.termUnbroken && c.hasMostGateways()
	case election.StateLeading:
		return c.election.LeaseConfirmed(boottime.Now()) || c.hasMostGateways()
	default:
		return false
	}
}

// hasMostGateways reports whether more than half of the gateways, this one included, are connected to this one.
func (c *Controller) hasMostGateways() bool { return c.areMostGateways(len(c.server.Hosts())) }

// areMostGateways reports whether a number of other gateways and this one are more than half of all.
func (c *Controller) areMostGateways(others int) bool {
	return 2*(others+1) > c.gateways.Value(c.Clock())
}

// restartMirror makes chooseSource start another mirror of the store, whose first watch finds that the history is gone.
func (c *Controller) restartMirror() {
	if c.source.stopMirror != nil {
		c.source.stopMirror()
		c.source.stopMirror = nil
	}
}

// reclaim finds the record of this gateway in a restored store, or writes it again under a new lease. It removes the
// record of an election that has ended. The error is kv.ErrConflict if another gateway was elected.
func (c *Controller) reclaim(ctx context.Context, call election.Call) (election.CampaignResult, error) {
	item, err := c.Store.Get(ctx, election.Key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return c.campaign(ctx, call.Value)
	case err != nil:
		return election.CampaignResult{}, err
	}
	leader, err := election.DecodeLeader(item.Value)
	switch {
	case err != nil:
		return election.CampaignResult{}, err
	case leader.ID == call.ID:
		return election.CampaignResult{Term: item.Created, Lease: item.Lease}, nil
	case !leader.Ended(c.Host, call.EndedBefore):
		return election.CampaignResult{}, errors.Wrapf(kv.ErrConflict, "gateway %q was elected", leader.Host)
	}
	if err := c.withdraw(ctx, item.Revision); err != nil && !errors.Is(err, kv.ErrConflict) {
		return election.CampaignResult{}, err
	}
	return c.campaign(ctx, call.Value)
}

func (c *Controller) reclaimDone(result election.CampaignResult, err error, started time.Duration) {
	c.observeCallEra(result.Term.Era)
	wasActing := c.election.Acting()
	c.election.ReclaimDone(result, err, started, boottime.Now())
	if err != nil {
		c.Log.WithError(err).Info("failed to reclaim the election")
	} else {
		c.Log.WithFields(logrus.Fields{"term": result.Term, "unbroken": c.termUnbroken}).Info("reclaimed the election")
		c.reloadAssigners()
	}
	c.electionChanged(wasActing)
}

// reloadAssigners begins again to load the tables that were being loaded, because the term has changed. If another gateway
// may have been elected meanwhile, it loads all tables again.
func (c *Controller) reloadAssigners() {
	for service, a := range c.assigners {
		if a.assigner == nil || !c.termUnbroken {
			delete(c.assigners, service)
		}
	}
}

// keepNewerTables keeps the known ownership tables that are newer than those of a restored store, until the elected
// gateway has written its own again. restored is true if this is the first listing of the store since.
func (c *Controller) keepNewerTables(known map[string]*ownership.Table, restored bool) {
	for service, table := range known {
		found := c.tables[service]
		if found == nil && !restored || found != nil && !lacksChanges(found, c.asOf.Era, table) {
			continue
		}
		key := tableKeyPrefix + service
		c.tables[service] = table
		c.items[key] = kv.Item{Key: key}
		c.Log.WithField("service", service).Info("ownership table of the restored store is older than the known one; kept the latter")
	}
}

// lacksChanges reports whether a table that is found in an era of the store is older than a known one.
func lacksChanges(found *ownership.Table, era kv.Era, known *ownership.Table) bool {
	return kv.Era(found.Era) < era && known != nil && found.NextToken < known.NextToken
}

// rememberLeader records that a gateway is the elected one until now.
func (c *Controller) rememberLeader() {
	if leader, known := c.election.Leader(); known && leader.Host != c.Host {
		c.leaders[leader.Host] = c.Clock()
	}
}

// recentLeaders returns the hosts of the gateways that were seen as the elected one so recently that they may still act as
// it.
func (c *Controller) recentLeaders() []string {
	var hosts []string
	for host, last := range c.leaders {
		if c.Clock()-last <= c.leaderMemory() {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// leaderMemory returns how long a gateway that was the elected one may still act as it.
func (c *Controller) leaderMemory() time.Duration { return c.Election.TTL + c.Election.OutageGrace }

// knowsLeaders reports whether this process has run for so long that it has seen every gateway that may still act as the
// elected one.
func (c *Controller) knowsLeaders() bool { return c.Clock() > c.leaderMemory() }

// learnPredecessors processes the hosts that another gateway has seen as the elected one. If this gateway has just
// started, it does not know them.
func (c *Controller) learnPredecessors(hosts []string) {
	for _, host := range hosts {
		if _, known := c.leaders[host]; !known && host != c.Host {
			c.leaders[host] = c.Clock()
		}
	}
	c.predecessorsKnown = true
	for _, a := range c.assigners {
		if a.assigner != nil {
			c.passPredecessors(a.assigner, boottime.Now())
		}
	}
}

// passPredecessors tells an assigner which gateways may still act on earlier tables, and which have connected to this one
// and do not.
func (c *Controller) passPredecessors(assigner *ownership.Assigner, now time.Duration) {
	if c.predecessorsKnown || c.knowsLeaders() {
		assigner.PredecessorsKnown(c.recentLeaders(), now)
	}
	for _, host := range c.server.Hosts() {
		assigner.HostStopped(host, now)
	}
}

// adoptTableRevisions takes over the revisions of the tables in a restored store, so that the assigners can write theirs
// at once.
func (c *Controller) adoptTableRevisions() {
	for service, a := range c.assigners {
		if !a.writing {
			a.revision = c.items[tableKeyPrefix+service].Revision
		}
	}
}

// newAssigner returns an assigner that continues from a table that was recorded in the current era or in an earlier one.
// In the latter case it continues from the known table, if that is newer.
func (c *Controller) newAssigner(service string, recorded *ownership.Table, now time.Duration) *ownership.Assigner {
	era := c.election.Term().Era
	if kv.Era(recorded.Era) == era {
		return ownership.NewAssignerFromTable(c.Ownership, recorded, now)
	}
	if known := c.tables[service]; known != nil && known.NextToken > recorded.NextToken {
		merged := *known
		merged.Hosts = recorded.Hosts
		recorded = &merged
	}
	if a := c.assigners[service]; a != nil {
		a.continuedFrom, a.confirmBy = recorded.NextToken, now+confirmTimeout
	}
	leaders := c.recentLeaders()
	c.Log.WithFields(logrus.Fields{"service": service, "leaders": leaders}).
		Warning("ownership table is of an earlier era; keys are granted once it is confirmed or earlier grants have expired")
	return ownership.NewAssignerFromRestoredTable(c.Ownership, recorded, uint64(era), leaders, now)
}
