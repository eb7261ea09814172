package config

import (
	"fmt"
	"strings"
)

// HostResponds reports whether the gateway of a host currently responds. If that cannot be determined, it must return
// true.
type HostResponds func(host Host) bool

// FindHazards returns the hazards of replacing c by next, or nil.
func (c *Config) FindHazards(next *Config, responds HostResponds) Hazards {
	h := &hazardChecker{before: c, after: next, responds: responds}
	if c.Team != next.Team {
		h.add(HazardTeam, "team", fmt.Sprintf("the document belongs to team %s", next.Team),
			"send it to that team's path")
	}
	h.checkZones()
	h.checkHosts()
	h.checkCells()
	for i := range next.Services {
		if before, ok := c.Service(next.Services[i].Name); ok {
			h.checkService(before, &next.Services[i])
		}
	}
	h.checkServers()
	return h.hazards
}

// hazardChecker collects the hazards of one revision.
type hazardChecker struct {
	before, after *Config
	responds      HostResponds
	hazards       Hazards
}

func (h *hazardChecker) add(kind HazardKind, section, reason, remedy string) {
	h.hazards = append(h.hazards, Hazard{Kind: kind, Section: section, Reason: reason, Remedy: remedy})
}

func (h *hazardChecker) checkZones() {
	for _, zone := range h.after.Zones {
		wasLost, isLost := h.before.isZoneLost(zone.Name), zone.Lost
		section := "zone " + zone.Name
		if wasLost && !isLost {
			h.add(HazardZoneReturns, section,
				"partitions move back while gateways of the zone may start with an old table",
				"start the gateways of the zone anew first")
		}
		if wasLost || !isLost {
			continue
		}
		for _, host := range h.before.Hosts {
			if host.Zone == zone.Name && h.responds(host) {
				h.add(HazardLostZone, section, "host "+host.Name+" still answers, so keys would have two owners",
					"stop the gateways and backend servers of the zone first")
				break
			}
		}
	}
}

func (h *hazardChecker) checkHosts() {
	for _, host := range h.before.Hosts {
		section := "host " + host.Name
		next, ok := h.after.Host(host.Name)
		if !ok {
			if h.responds(host) {
				h.add(HazardHostRemoved, section, "it still answers and may hold the authority of its cell",
					"announce a planned stop and wait until the host is empty")
			}
			continue
		}
		if next.Cell != host.Cell || next.Zone != host.Zone || next.PeerAddress != host.PeerAddress {
			h.add(HazardHostMoved, section, "a gateway cannot change its cell, zone or peer address while it runs",
				"announce a planned stop of the host, remove it, and add it under another name")
		}
	}
}

// checkCells finds cells that lose all hosts, so that their partitions would move although no gateway is left to
// confirm the release. Hosts that do not respond may be cut off by a network partition and still serve their keys.
func (h *hazardChecker) checkCells() {
	for _, cell := range h.before.Cells() {
		hosts := h.before.CellHosts(cell)
		if len(h.after.CellHosts(cell)) > 0 || h.before.isZoneLost(hosts[0].Zone) {
			continue
		}
		h.add(HazardCellRemoved, "cell "+cell, "its partitions would move although no host is left to confirm their release",
			"remove its backend servers first, and its hosts in a later revision")
	}
}

func (h *hazardChecker) checkService(before, after *Service) {
	section := "service " + after.Name
	if before.Keyed != after.Keyed {
		h.add(HazardKeyed, section,
			"requests in progress have no owner under the new division",
			"add a service with another name and move the callers")
	} else if before.Partitions != after.Partitions {
		h.add(HazardPartitions, section,
			fmt.Sprintf("all keys would change their owner at once (%d partitions, then %d)", before.Partitions, after.Partitions),
			"add a service with another name and move the callers")
	}
	if before.Fenced && !after.Fenced {
		h.add(HazardFencing, section, "backend servers would no longer refuse an older owner", "keep checks-fencing-tokens = yes")
	}
	if after.MaxRequestMillis < before.MaxRequestMillis {
		h.add(HazardShorterRequests, section,
			fmt.Sprintf("requests that run already may take %d ms, but moves would wait for %d ms only",
				before.MaxRequestMillis, after.MaxRequestMillis),
			"shorten it when the service is idle")
	}
	for _, rule := range after.Idempotent {
		if !before.covers(rule) {
			h.add(HazardIdempotent, section, fmt.Sprintf("%s %s ran at most once and may now run twice", rule.Method, rule.Path),
				"make sure that the backend servers repeat it without harm")
		}
	}
}

// covers reports whether a single idempotency rule of the service matches every request that rule matches.
func (s *Service) covers(rule Rule) bool {
	for _, wider := range s.Idempotent {
		if wider.includes(rule) {
			return true
		}
	}
	return false
}

// includes reports whether r is known to match every request that other matches. It is conservative: if other has
// wildcards and a different path, it returns false unless r is a subtree.
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

// wildcards are the special characters of path.Match.
const wildcards = `*?[\`

// checkServers compares the backend servers of all services. A server whose name, address or cell changes has two homes
// (gateways that dispatch to it) until every gateway has the new revision.
func (h *hazardChecker) checkServers() {
	byAddress, byName := make(map[string]string), make(map[string]Server)
	for _, service := range h.before.Services {
		for _, server := range service.Servers {
			name := service.Name + "/" + server.Name
			byAddress[server.Address], byName[name] = name, server
		}
	}
	for _, service := range h.after.Services {
		for _, server := range service.Servers {
			name := service.Name + "/" + server.Name
			previous, known := byName[name]
			other, used := byAddress[server.Address]
			moved := known && (previous.Address != server.Address || previous.Cell != server.Cell)
			if moved || used && other != name {
				h.add(HazardServerMoved, "server "+server.Name,
					"the home by its old name, address or cell may still have requests in progress there",
					"remove the backend server, accept, and add it under another name in a later revision")
			}
		}
	}
}
