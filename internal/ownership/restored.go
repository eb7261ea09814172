package ownership

import "time"

// tokensPerEra is the number of tokens that can be assigned in one era of the store. Tokens of a later era are higher than
// those that were assigned in a history that is lost.
const tokensPerEra = 1 << 32

// firstToken returns the lowest token of an era.
func firstToken(era uint64) Token { return Token(era*tokensPerEra + 1) }

// Loss describes what an assigner knows of the history that the store has lost.
type Loss struct {
	// Era is the current era of the store.
	Era uint64
	// Leaders are the hosts of the gateways that may still act as the elected one. Without any, one on an unknown host may.
	Leaders []string
	// Complete is true if the table is the last one of the lost history. Otherwise it may lack the last moves.
	Complete bool
}

// NewAssignerFromRestoredTable returns an assigner that continues from a table of an earlier era of the store. Keys that
// may have moved since may be held by any backend server until the grants of the earlier assigners have expired.
func NewAssignerFromRestoredTable(settings Settings, table *Table, loss Loss, now time.Duration) *Assigner {
	restored := *table
	restored.NextToken = max(table.NextToken, firstToken(loss.Era))
	restored.Writer = ""
	if len(loss.Leaders) == 0 {
		loss.Leaders = []string{unknownHost}
	}
	for _, leader := range loss.Leaders {
		restored.Hosts = withHost(restored.Hosts, ActiveHost{Name: leader, Grace: settings.PredecessorGrace})
	}
	a := NewAssignerFromTable(settings, &restored, now)
	unknown := a.lastExpiry(now)
	for _, r := range a.rows {
		if !loss.Complete {
			r.formerGrants = append(r.formerGrants, &formerGrant{heldUntil: unknown, unconfirmedUntil: unknown, unfenced: true})
		}
	}
	return a
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
