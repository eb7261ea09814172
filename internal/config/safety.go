package config

import (
	"fmt"
	"strings"
)

// HostResponds reports whether the gateway of a host answers at the moment. A gateway that cannot tell returns true.
type HostResponds func(host Host) bool

// FindHazards returns the reasons why replacing c by next could break an invariant, or nil.
func (c *Config) FindHazards(next *Config, answers HostResponds) Hazards {
	s := &safety{before: c, after: next, answers: answers}
	if c.Team != next.Team {
		s.add(HazardTeam, "team", fmt.Sprintf("the document belongs to team %s", next.Team), "send it to that team's path")
	}
	s.zones()
	s.hosts()
	s.cells()
	for i := range next.Services {
		if before, ok := c.Service(next.Services[i].Name); ok {
			s.service(before, &next.Services[i])
		}
	}
	s.servers()
	return s.hazards
}

type safety struct {
	before, after *Config
	answers       HostResponds
	hazards       Hazards
}

func (s *safety) add(kind HazardKind, section, reason, remedy string) {
	s.hazards = append(s.hazards, Hazard{Kind: kind, Section: section, Reason: reason, Remedy: remedy})
}

func (s *safety) zones() {
	for _, zone := range s.after.Zones {
		was, is := s.before.isLost(zone.Name), zone.Lost
		section := "zone " + zone.Name
		if was && !is {
			s.add(HazardZoneReturns, section, "partitions move back while gateways of the zone may start with an old table",
				"start the gateways of the zone anew first")
		}
		if was || !is {
			continue
		}
		for _, host := range s.before.Hosts {
			if host.Zone == zone.Name && s.answers(host) {
				s.add(HazardLostZone, section, "host "+host.Name+" still answers, so keys would have two owners",
					"stop the gateways and backend servers of the zone first")
				break
			}
		}
	}
}

func (s *safety) hosts() {
	for _, host := range s.before.Hosts {
		section := "host " + host.Name
		next, ok := s.after.Host(host.Name)
		if !ok {
			if s.answers(host) {
				s.add(HazardHostRemoved, section, "it still answers and may hold the authority of its cell",
					"announce a planned stop and wait until the host is empty")
			}
			continue
		}
		if next.Cell != host.Cell || next.Zone != host.Zone || next.PeerAddress != host.PeerAddress {
			s.add(HazardHostMoved, section, "a gateway cannot change its cell, zone or peer address while it runs",
				"announce a planned stop of the host, remove it, and add it under another name")
		}
	}
}

// cells finds cells whose partitions would move although nobody is left to confirm their release. Hosts that do not
// answer may be isolated and serve their keys.
func (s *safety) cells() {
	for _, cell := range s.before.Cells() {
		hosts := s.before.CellHosts(cell)
		if len(s.after.CellHosts(cell)) > 0 || s.before.isLost(hosts[0].Zone) {
			continue
		}
		s.add(HazardCellRemoved, "cell "+cell, "its partitions would move although no host is left to confirm their release",
			"remove its backend servers first, and its hosts in a later revision")
	}
}

func (s *safety) service(before, after *Service) {
	section := "service " + after.Name
	if before.Keyed != after.Keyed {
		s.add(HazardKeyed, section, "requests in progress have no owner under the new division",
			"add a service with another name and move the callers")
	} else if before.Partitions != after.Partitions {
		s.add(HazardPartitions, section,
			fmt.Sprintf("all keys would change their owner at once (%d partitions, then %d)", before.Partitions, after.Partitions),
			"add a service with another name and move the callers")
	}
	if before.Fenced && !after.Fenced {
		s.add(HazardFencing, section, "backend servers would no longer refuse an older owner", "keep checks-fencing-tokens = yes")
	}
	if after.MaxRequestMillis < before.MaxRequestMillis {
		s.add(HazardShorterRequests, section,
			fmt.Sprintf("requests that run already may take %d ms, but moves would wait for %d ms only",
				before.MaxRequestMillis, after.MaxRequestMillis),
			"shorten it when the service is idle")
	}
	for _, rule := range after.Idempotent {
		if !before.covers(rule) {
			s.add(HazardIdempotent, section, fmt.Sprintf("%s %s ran at most once and may now run twice", rule.Method, rule.Path),
				"make sure that the backend servers repeat it without harm")
		}
	}
}

// covers reports whether one rule of the service matches every request that rule matches.
func (s *Service) covers(rule Rule) bool {
	for _, wider := range s.Idempotent {
		if wider.includes(rule) {
			return true
		}
	}
	return false
}

// includes reports whether r is known to match every request that other matches. Two different patterns with
// wildcards count as not included, unless r is a subtree.
func (r Rule) includes(other Rule) bool {
	if r.Method != "*" && r.Method != other.Method {
		return false
	}
	if r.Path == other.Path {
		return true
	}
	subtree, ok := strings.CutSuffix(r.Path, subtreeSuffix)
	if !ok {
		return !strings.ContainsAny(other.Path, wildcards) && r.Matches(other.Method, other.Path)
	}
	path := strings.TrimSuffix(other.Path, subtreeSuffix)
	return path == subtree || strings.HasPrefix(path, subtree+"/")
}

// wildcards are the characters with a meaning in path.Match.
const wildcards = `*?[\`

// servers compares servers over all services: one that gets another name, address or cell has two homes until
// every gateway has the revision.
func (s *safety) servers() {
	byAddress, byName := make(map[string]string), make(map[string]Server)
	for _, service := range s.before.Services {
		for _, server := range service.Servers {
			name := service.Name + "/" + server.Name
			byAddress[server.Address], byName[name] = name, server
		}
	}
	for _, service := range s.after.Services {
		for _, server := range service.Servers {
			name := service.Name + "/" + server.Name
			was, known := byName[name]
			other, used := byAddress[server.Address]
			moved := known && (was.Address != server.Address || was.Cell != server.Cell)
			if moved || used && other != name {
				s.add(HazardServerMoved, "server "+server.Name,
					"the home by its old name, address or cell may still have requests in progress there",
					"remove the backend server, accept, and add it under another name in a later revision")
			}
		}
	}
}
