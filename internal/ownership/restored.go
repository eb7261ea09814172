package ownership

import (
	"slices"
	"time"
)

// tokensPerEra is the number of tokens that can be assigned in one era of the store. Tokens of a later era are higher than
// those that were assigned in a history that is lost.
const tokensPerEra = 1 << 32

// firstToken returns the lowest token of an era.
func firstToken(era uint64) Token { return Token(era*tokensPerEra + 1) }

// NewAssignerFromRestoredTable returns an assigner that continues, in an era of the store, from a table of an earlier era.
// The table may lack the last moves, so any backend server may hold any key until the grants of the earlier assigners have
// expired, or until ConfirmTable is called. leaders are the hosts of the gateways that may still act as the elected one;
// without any, one on an unknown host may.
func NewAssignerFromRestoredTable(settings Settings, table *Table, era uint64, leaders []string, now time.Duration) *Assigner {
	restored := *table
	restored.NextToken = max(table.NextToken, firstToken(era))
	restored.Writer = ""
	if len(leaders) == 0 {
		leaders = []string{unknownHost}
	}
	for _, leader := range leaders {
		restored.Hosts = withHost(restored.Hosts, ActiveHost{Name: leader, Grace: settings.PredecessorGrace})
	}
	a := NewAssignerFromTable(settings, &restored, now)
	unknown := a.lastExpiry(now, settings.OrderTimeout)
	for _, r := range a.rows {
		r.formerGrants = append(r.formerGrants, &formerGrant{
			heldUntil: unknown, unconfirmedUntil: unknown, unfenced: true, lostMove: true,
		})
	}
	return a
}

// ConfirmTable records that the table from which the assigner continues was the last one of the lost history, so that no
// moves are missing.
func (a *Assigner) ConfirmTable() {
	for _, r := range a.rows {
		r.formerGrants = slices.DeleteFunc(r.formerGrants, func(g *formerGrant) bool { return g.lostMove })
	}
}

// unknownFormer stands for former holders that are not known. It holds the keys until all earlier grants have expired.
var unknownFormer = FormerHolder{Unfenced: true}

// unknownHost stands for the hosts of earlier assigners if they are not known.
const unknownHost = ""

// PredecessorsKnown records the hosts of the assigners that may still act, if they were not known so far.
func (a *Assigner) PredecessorsKnown(hosts []string, now time.Duration) {
	if _, unknown := a.activeHosts[unknownHost]; !unknown {
		return
	}
	for _, host := range hosts {
		if _, known := a.activeHosts[host]; !known && host != a.settings.Host {
			a.activeHosts[host] = now + a.settings.PredecessorGrace
		}
	}
	delete(a.activeHosts, unknownHost)
	a.shortenInherited(now)
}

// withHost returns the hosts with another one added or replaced.
func withHost(hosts []ActiveHost, added ActiveHost) []ActiveHost {
	result := []ActiveHost{added}
	for _, host := range hosts {
		if host.Name != added.Name {
			result = append(result, host)
		}
	}
	return result
}
