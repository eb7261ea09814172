package questionnaire

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Upper bounds for the count of a section.
const (
	maxHostsPerZone   = 1000
	maxServersPerZone = 1000
)

func (p *parser) parseTeam(s *sectionReader, _ []string) {
	p.answers.Team = s.required("name", "my-team")
	if p.answers.Team != "" && !config.IsName(p.answers.Team) {
		s.addFault("name", p.answers.Team, "is not a name", nameRemedy)
	}
}

func (p *parser) parsePreference(s *sectionReader, _ []string) {
	word := s.choice("favour", string(config.PreferAvailability), string(config.PreferBalance))
	p.answers.Preference = config.Preference(word)
}

func (p *parser) parseLosses(s *sectionReader, _ []string) {
	s.required("tolerated", "gateway, store, zone")
	for _, item := range s.nameList("tolerated") {
		switch loss := Loss(item); loss {
		case LossGateway, LossStore, LossZone, LossRack, LossZoneAndGateway:
			p.answers.Tolerated = append(p.answers.Tolerated, loss)
		default:
			if config.IsName(item) {
				s.addFault("tolerated", item, "is not a loss that can be tolerated",
					"use gateway, store, zone, rack or zone-and-gateway")
			}
		}
	}
	if word := s.required("isolated-zone", "serve"); word != "" && word != "serve" {
		s.addFault("isolated-zone", word, "is not a supported mode of an isolated zone",
			"use serve: the zone keeps serving its keys; list permanently lost zones in lost-zones")
	}
	p.answers.LostZones = s.nameList("lost-zones")
}

func (p *parser) parseRegion(s *sectionReader, names []string) {
	s.required("zones", "zone-a, zone-b")
	for _, zone := range s.nameList("zones") {
		p.answers.Zones = append(p.answers.Zones, ZoneAnswer{Name: zone, Region: names[0]})
	}
}

func (p *parser) parseHosts(s *sectionReader, names []string) {
	answer := HostsAnswer{Zone: names[0], sectionName: s.name}
	answer.Count = s.integer("count", 1, maxHostsPerZone, "hosts")
	answer.Except = s.nameList("except")
	answer.Cells = s.integerOr("cells", 0, 1, maxHostsPerZone, "cells")
	answer.Racks = p.parseRacks(s, answer.Count)
	answer.Peer = s.addressPattern("peer", answer.Count)
	answer.Caller = s.addressPattern("caller", answer.Count)
	answer.Admin = s.addressPattern("admin", answer.Count)
	p.answers.Hosts = append(p.answers.Hosts, answer)
}

// parseRacks reads either one rack for all hosts or one rack per host.
func (p *parser) parseRacks(s *sectionReader, count int) []string {
	racks := splitList(s.optional("rack"))
	for _, rack := range racks {
		if !config.IsName(rack) {
			s.addFault("rack", rack, "is not a name", nameRemedy)
			return racks
		}
	}
	if len(racks) > 1 && len(racks) != count && !s.invalidKeys["count"] {
		s.addFault("rack", s.answers["rack"], fmt.Sprintf("lists %d racks for %d hosts", len(racks), count),
			"list one rack for all hosts or one for each")
	}
	return racks
}

func (p *parser) parseService(s *sectionReader, names []string) {
	answer := ServiceAnswer{Name: names[0], usesDefault: make(map[string]bool)}
	answer.Keyed = s.yesNo("divided-by-key")
	answer.Partitions = p.parsePartitions(s, &answer)
	answer.Fenced = s.yesNo("checks-fencing-tokens")
	answer.Slots = s.integer("slots", 1, config.MaxSlots, "requests")
	answer.Connections = s.integer("connections", 1, config.MaxConnections, "connections")
	answer.usesDefault["max-request-millis"] = s.optional("max-request-millis") == ""
	answer.MaxRequestMillis = s.integerOr("max-request-millis", config.DefaultMaxRequestMillis, 1,
		config.MaxTimeoutMillis, "milliseconds")
	answer.Idempotent = p.parseRules(s)
	p.answers.Services = append(p.answers.Services, answer)
}

func (p *parser) parsePartitions(s *sectionReader, answer *ServiceAnswer) int {
	value := s.optional("partitions")
	answer.usesDefault["partitions"] = value == ""
	switch {
	case !answer.Keyed && value != "" && !s.invalidKeys["divided-by-key"]:
		s.addFault("partitions", value, "is set for a service that is not divided by key", "remove the line")
		return 0
	case !answer.Keyed:
		return 0
	}
	count := s.integerOr("partitions", config.DefaultPartitions, 1, keyspace.MaxPartitions, "partitions")
	if !s.invalidKeys["partitions"] && !keyspace.IsPartitionCount(count) {
		s.addFault("partitions", value, "is not a power of two", "use 1024, or 65536 for more than 100 backend servers")
	}
	return count
}

func (p *parser) parseRules(s *sectionReader) []config.Rule {
	var rules []config.Rule
	value := s.required("idempotent", "GET /**, HEAD /** (or none)")
	if value == "none" {
		return nil
	}
	for _, item := range splitList(value) {
		method, path, _ := strings.Cut(item, " ")
		rule := config.Rule{Method: method, Path: strings.TrimSpace(path)}
		if problem, remedy := rule.Problem(); problem != "" {
			s.addFault("idempotent", item, problem, remedy)
			continue
		}
		rules = append(rules, rule)
	}
	return rules
}

func (p *parser) parseServers(s *sectionReader, names []string) {
	answer := ServersAnswer{Service: names[0], Zone: names[1], sectionName: s.name}
	answer.Count = s.integer("count", 1, maxServersPerZone, "backend servers")
	answer.Except = s.nameList("except")
	answer.Address = s.addressPattern("address", answer.Count)
	answer.Weights = p.parseWeights(s, answer.Count)
	p.answers.Servers = append(p.answers.Servers, answer)
}

// parseWeights reads either one weight for all backend servers or one weight per server.
func (p *parser) parseWeights(s *sectionReader, count int) []float64 {
	var weights []float64
	for _, item := range splitList(s.optional("weight")) {
		weight, err := strconv.ParseFloat(item, 64)
		if err != nil || !(weight >= config.MinWeight && weight <= config.MaxWeight) {
			s.addFault("weight", item, "is not a weight",
				fmt.Sprintf("use a number from %g to %g; 1 is the default", float64(config.MinWeight), float64(config.MaxWeight)))
			return nil
		}
		weights = append(weights, weight)
	}
	if len(weights) > 1 && len(weights) != count && !s.invalidKeys["count"] {
		s.addFault("weight", s.answers["weight"], fmt.Sprintf("lists %d weights for a count of %d", len(weights), count),
			"list one weight for all or one for each")
	}
	return weights
}
