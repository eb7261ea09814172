package questionnaire

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Bounds of answers.
const (
	maxHostsPerZone   = 1000
	maxServersPerZone = 1000
)

func (p *parser) team(s *section, _ []string) {
	p.answers.Team = s.required("name", "my-team")
	if p.answers.Team != "" && !config.IsName(p.answers.Team) {
		s.fault("name", p.answers.Team, "is not a name", nameRemedy)
	}
}

func (p *parser) preference(s *section, _ []string) {
	word := s.choice("favour", string(config.PreferAvailability), string(config.PreferBalance))
	p.answers.Preference = config.Preference(word)
}

func (p *parser) losses(s *section, _ []string) {
	s.required("tolerated", "gateway, store, zone")
	for _, item := range s.names("tolerated") {
		switch loss := Loss(item); loss {
		case LossGateway, LossStore, LossZone, LossRack, LossZoneAndGateway:
			p.answers.Tolerated = append(p.answers.Tolerated, loss)
		default:
			if config.IsName(item) {
				s.fault("tolerated", item, "is not a loss that can be tolerated",
					"use gateway, store, zone, rack or zone-and-gateway")
			}
		}
	}
	if word := s.required("isolated-zone", "serve"); word != "" && word != "serve" {
		s.fault("isolated-zone", word, "is not what an isolated zone can do",
			"use serve: it keeps serving its keys; name a zone that is gone in lost-zones")
	}
	p.answers.LostZones = s.names("lost-zones")
}

func (p *parser) region(s *section, names []string) {
	s.required("zones", "zone-a, zone-b")
	for _, zone := range s.names("zones") {
		p.answers.Zones = append(p.answers.Zones, ZoneAnswer{Name: zone, Region: names[0]})
	}
}

func (p *parser) hosts(s *section, names []string) {
	answer := HostsAnswer{Zone: names[0], sectionOrigin: s.name}
	answer.Count = s.number("count", 1, maxHostsPerZone, "hosts")
	answer.Except = s.names("except")
	answer.Cells = s.numberOr("cells", 0, 1, maxHostsPerZone, "cells")
	answer.Racks = p.racks(s, answer.Count)
	answer.Peer = s.address("peer", answer.Count)
	answer.Caller = s.address("caller", answer.Count)
	answer.Admin = s.address("admin", answer.Count)
	p.answers.Hosts = append(p.answers.Hosts, answer)
}

// racks reads one rack for all hosts or one for each.
func (p *parser) racks(s *section, count int) []string {
	racks := splitList(s.optional("rack"))
	for _, rack := range racks {
		if !config.IsName(rack) {
			s.fault("rack", rack, "is not a name", nameRemedy)
			return racks
		}
	}
	if len(racks) > 1 && len(racks) != count && !s.invalid["count"] {
		s.fault("rack", s.answers["rack"], fmt.Sprintf("names %d racks for %d hosts", len(racks), count),
			"name one rack for all hosts or one for each")
	}
	return racks
}

func (p *parser) service(s *section, names []string) {
	answer := ServiceAnswer{Name: names[0], defaulted: make(map[string]bool)}
	answer.Keyed = s.yesNo("divided-by-key")
	answer.Partitions = p.partitions(s, &answer)
	answer.Fenced = s.yesNo("checks-fencing-tokens")
	answer.Slots = s.number("slots", 1, config.MaxSlots, "requests")
	answer.Connections = s.number("connections", 1, config.MaxConnections, "connections")
	answer.defaulted["max-request-millis"] = s.optional("max-request-millis") == ""
	answer.MaxRequestMillis = s.numberOr("max-request-millis", config.DefaultMaxRequestMillis, 1,
		config.MaxTimeoutMillis, "milliseconds")
	answer.Idempotent = p.rules(s)
	p.answers.Services = append(p.answers.Services, answer)
}

func (p *parser) partitions(s *section, answer *ServiceAnswer) int {
	value := s.optional("partitions")
	answer.defaulted["partitions"] = value == ""
	switch {
	case !answer.Keyed && value != "" && !s.invalid["divided-by-key"]:
		s.fault("partitions", value, "is answered for a service that is not divided by key", "remove the line")
		return 0
	case !answer.Keyed:
		return 0
	}
	count := s.numberOr("partitions", config.DefaultPartitions, 1, keyspace.MaxPartitions, "partitions")
	if !s.invalid["partitions"] && !keyspace.IsPartitionCount(count) {
		s.fault("partitions", value, "is not a power of two", "use 1024, or 65536 for more than 100 backend servers")
	}
	return count
}

func (p *parser) rules(s *section) []config.Rule {
	var rules []config.Rule
	value := s.required("idempotent", "GET /**, HEAD /** (or none)")
	if value == "none" {
		return nil
	}
	for _, item := range splitList(value) {
		method, path, _ := strings.Cut(item, " ")
		rule := config.Rule{Method: method, Path: strings.TrimSpace(path)}
		if problem, remedy := rule.Problem(); problem != "" {
			s.fault("idempotent", item, problem, remedy)
			continue
		}
		rules = append(rules, rule)
	}
	return rules
}

func (p *parser) servers(s *section, names []string) {
	answer := ServersAnswer{Service: names[0], Zone: names[1], sectionOrigin: s.name}
	answer.Count = s.number("count", 1, maxServersPerZone, "backend servers")
	answer.Except = s.names("except")
	answer.Address = s.address("address", answer.Count)
	answer.Weights = p.weights(s, answer.Count)
	p.answers.Servers = append(p.answers.Servers, answer)
}

// weights reads one weight for all backend servers or one for each.
func (p *parser) weights(s *section, count int) []float64 {
	var weights []float64
	for _, item := range splitList(s.optional("weight")) {
		weight, err := strconv.ParseFloat(item, 64)
		if err != nil || !(weight >= config.MinWeight && weight <= config.MaxWeight) {
			s.fault("weight", item, "is not a weight",
				fmt.Sprintf("use a number from %g to %g; 1 is the default", float64(config.MinWeight), float64(config.MaxWeight)))
			return nil
		}
		weights = append(weights, weight)
	}
	if len(weights) > 1 && len(weights) != count && !s.invalid["count"] {
		s.fault("weight", s.answers["weight"], fmt.Sprintf("names %d weights for a count of %d", len(weights), count),
			"name one weight for all or one for each")
	}
	return weights
}
