package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/urgency"
)

const (
	// reservedShare is the share of the permits that is kept for gateways with recent demand. A gateway without any is
	// issued a permit for its next request from the rest.
	reservedShare = 0.5
	// exchangeTime is the typical time from a request without a permit to the message that brings one.
	exchangeTime = 100 * time.Millisecond
	// reportRetention is how long a limit is kept without a report on its server. A gateway that knows the limit reports more
	// often; without any, the server is gone.
	reportRetention = 10 * time.Second
	// permitReportGrace is how long after its expiry a permit that was not reported counts as used.
	permitReportGrace = 1500 * time.Millisecond
)

// Report is the report of one gateway on one backend server.
type Report struct {
	// Server identifies the backend server.
	Server    uint32
	Kind      Kind
	Statement Statement
	Usage     Usage
}

// Grant is what a gateway is allocated of the rate of one backend server.
type Grant struct {
	// Server identifies the backend server.
	Server    uint32
	Kind      Kind
	Statement Statement
	// Permits is the number of additional requests that the gateway may send while the permits last.
	Permits int
	// Waits are the expected times until the gateway is issued a permit for another request.
	Waits Waits
}

// Allocator divides the rates of backend servers among the gateways. The elected gateway has one.
type Allocator struct {
	slowStart SlowStart
	limits    map[limitID]*allocation
}

// limitID identifies a limit: a backend server may have one of each kind.
type limitID struct {
	server uint32
	kind   Kind
}

func (i limitID) compare(other limitID) int {
	return cmp.Or(cmp.Compare(i.server, other.server), cmp.Compare(i.kind, other.kind))
}

// allocation is the division of the rate of one backend server.
type allocation struct {
	termsOf   func(limit float64) Terms
	statement Statement
	tokens    float64
	filledAt  time.Duration
	members   map[string]*member
	// reportedAt is the time of the last report.
	reportedAt time.Duration
}

// NewAllocator returns an allocator that knows no limits.
func NewAllocator(slowStart SlowStart) *Allocator {
	return &Allocator{slowStart: slowStart, limits: make(map[limitID]*allocation)}
}

// Empty reports whether no limit is known or has recently ended.
func (a *Allocator) Empty() bool { return len(a.limits) == 0 }

// Report applies the report of a gateway. The time of its statement is in terms of the caller's clock.
func (a *Allocator) Report(host string, report Report, now time.Duration) {
	id := limitID{report.Server, report.Kind}
	s := a.limits[id]
	if s == nil {
		s = &allocation{termsOf: a.slowStart.termsOf(id.kind), members: make(map[string]*member), filledAt: now}
		a.limits[id] = s
	}
	s.reportedAt = now
	if report.Statement.NewerThan(s.statement) {
		s.statement = report.Statement
	}
	returned := s.member(host).report(report.Usage, now)
	s.tokens = min(s.tokens+float64(returned), s.terms().MaxPermits)
}

// Limit returns the number of requests a second that a backend server named, and whether it limits them.
func (a *Allocator) Limit(server uint32) (float64, bool) {
	s := a.limits[limitID{server, KindNamed}]
	if s == nil || !s.statement.Limited {
		return 0, false
	}
	return s.statement.effectiveLimit(), true
}

// Allocate issues permits to the given hosts, which are those that the allocator can reach out of a number of gateways.
// The others use their own shares. Each host is listed once. The result has one grant a server for each host.
func (a *Allocator) Allocate(hosts []string, gateways int, now time.Duration) map[string][]Grant {
	grants := make(map[string][]Grant)
	for _, id := range slices.SortedFunc(maps.Keys(a.limits), limitID.compare) {
		s := a.limits[id]
		if s.isObsolete(now) {
			delete(a.limits, id)
			continue
		}
		reached := float64(len(hosts)) / float64(max(gateways, len(hosts), 1))
		issued := s.issue(hosts, reached, now)
		waits := s.waits(s.statement.effectiveLimit() * reached)
		for _, host := range hosts {
			grants[host] = append(grants[host], Grant{
				Server: id.server, Kind: id.kind, Statement: s.statement, Permits: issued[host], Waits: waits,
			})
		}
	}
	return grants
}

// isObsolete reports whether the limit ended some time ago, or its server is gone.
func (s *allocation) isObsolete(now time.Duration) bool {
	ended := !s.statement.Limited && now-s.statement.At > endedRetention
	return ended || now-s.reportedAt > reportRetention
}

// waits returns the expected times until a permit is issued for another request, after those that wait already and are as
// urgent. limit is the number of permits a second.
func (s *allocation) waits(limit float64) Waits {
	var waits Waits
	missing := 1 - s.tokens
	for level := range waits {
		for _, m := range s.members {
			missing += float64(m.waiting[level])
		}
		waits[level] = exchangeTime + time.Duration(max(0, missing)/limit*float64(time.Second))
	}
	return waits
}

// issue accrues a share of the limit and issues permits for it. It returns the number of permits by host.
func (s *allocation) issue(hosts []string, share float64, now time.Duration) map[string]int {
	s.retain(hosts, now)
	issued := make(map[string]int)
	if !s.statement.Limited {
		s.tokens, s.filledAt = 0, now
		return issued
	}
	s.tokens = min(s.tokens+(now-s.filledAt).Seconds()*share*s.statement.effectiveLimit(), s.terms().MaxPermits)
	s.filledAt = now
	for s.tokens >= 1 {
		host := s.next(hosts, now)
		if host == "" {
			break
		}
		s.tokens--
		s.members[host].issue(now)
		issued[host]++
	}
	return issued
}

// retain limits the members to the given hosts.
func (s *allocation) retain(hosts []string, now time.Duration) {
	for _, host := range hosts {
		s.member(host).expire(now, s.terms().PermitLifetime)
	}
	if len(s.members) > len(hosts) {
		maps.DeleteFunc(s.members, func(host string, _ *member) bool { return !slices.Contains(hosts, host) })
	}
}

// next returns the host that gets the next permit, or "" if none can use another one: first hosts at which the most
// urgent requests wait, then hosts that will need one.
func (s *allocation) next(hosts []string, now time.Duration) string {
	for level := range urgency.Levels {
		waiting := func(m *member) bool { return m.waiting[level] > 0 }
		if host := s.nextOf(hosts, now, waiting); host != "" {
			return host
		}
	}
	return s.nextOf(hosts, now, func(m *member) bool {
		return m.mayHoldMore(now, s.terms().PermitLifetime) && (!m.idle(now) || s.tokens >= s.terms().MaxPermits*reservedShare)
	})
}

// nextOf returns the host that gets the next permit among those that are eligible. Each of them gets permits in proportion
// to its weight (smooth weighted round robin).
func (s *allocation) nextOf(hosts []string, now time.Duration, eligible func(*member) bool) string {
	total, best := 0.0, ""
	for _, host := range hosts {
		m := s.members[host]
		if !eligible(m) {
			continue
		}
		weight := m.weight(now)
		m.credit += weight
		total += weight
		if best == "" || m.credit > s.members[best].credit {
			best = host
		}
	}
	if best != "" {
		s.members[best].credit -= total
	}
	return best
}

func (s *allocation) terms() Terms { return s.termsOf(s.statement.effectiveLimit()) }

func (s *allocation) member(host string) *member {
	m := s.members[host]
	if m == nil {
		m = &member{}
		s.members[host] = m
	}
	return m
}
