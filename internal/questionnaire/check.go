package questionnaire

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// sort puts the answers into a canonical order that is independent of the order of sections and lists in the file.
func (a *Answers) sort() {
	slices.SortStableFunc(a.Zones, func(x, y ZoneAnswer) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(a.Hosts, func(x, y HostsAnswer) int { return cmp.Compare(x.Zone, y.Zone) })
	slices.SortFunc(a.Services, func(x, y ServiceAnswer) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(a.Servers, func(x, y ServersAnswer) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Zone, y.Zone))
	})
	for i := range a.Services {
		a.Services[i].sortIdempotentRules()
	}
	slices.Sort(a.Tolerated)
}

func (s *ServiceAnswer) sortIdempotentRules() {
	slices.SortFunc(s.Idempotent, func(x, y config.Rule) int {
		return cmp.Or(cmp.Compare(x.Path, y.Path), cmp.Compare(x.Method, y.Method))
	})
	s.Idempotent = slices.Compact(s.Idempotent)
}

// checkAnswers adds the faults that involve more than one section. To report one mistake only once, it skips checks
// that depend on a section that already has a fault. If there are sections with unknown names, it reports no section
// as missing and no zone or service as undefined, since any of them may be the missing section under a misspelled
// name.
func checkAnswers(a *Answers, faults *config.ValidationErrors, hasUnknownSections bool) {
	c := &checker{
		answers: a, faults: faults, hasUnknownSections: hasUnknownSections,
		zones: make(map[string]bool), faultySections: make(map[string]bool),
	}
	for _, fault := range *faults {
		c.faultySections[fault.Section] = true
		kind, _, _ := strings.Cut(fault.Section, " ")
		c.regionsIncomplete = c.regionsIncomplete || kind == "region"
	}
	c.checkZones()
	c.checkHosts()
	c.checkServers()
	c.checkConnections()
	c.checkAddresses()
	if len(*faults) == 0 {
		c.checkLosses()
	}
}

type checker struct {
	answers            *Answers
	faults             *config.ValidationErrors
	hasUnknownSections bool
	// zones is the set of zones of all regions. It is incomplete if regionsIncomplete is set.
	zones             map[string]bool
	regionsIncomplete bool
	// faultySections is the set of sections in which parsing found faults.
	faultySections map[string]bool
}

func (c *checker) checkZones() {
	for _, zone := range c.answers.Zones {
		if c.zones[zone.Name] && !c.regionsIncomplete {
			c.faults.Add("region "+zone.Region, "zones", zone.Name, "belongs to two regions", "list it in one of them")
		}
		c.zones[zone.Name] = true
	}
	if c.faultySections["losses"] || c.regionsIncomplete || c.hasUnknownSections || len(c.answers.Zones) == 0 {
		return
	}
	for _, zone := range c.answers.LostZones {
		if !c.zones[zone] {
			c.faults.Add("losses", "lost-zones", zone, "is in no [region] section", "name a zone of a region")
		}
	}
	if len(c.answers.LostZones) == len(c.answers.Zones) {
		c.faults.Add("losses", "lost-zones", strings.Join(c.answers.LostZones, ", "),
			"lists every availability zone", "leave at least one zone in service")
	}
}

func (c *checker) checkHosts() {
	withHosts := make(map[string]bool)
	for _, hosts := range c.answers.Hosts {
		withHosts[hosts.Zone] = true
		c.checkZoneExists(hosts.sectionName, hosts.Zone)
		if c.faultySections[hosts.sectionName] {
			continue
		}
		c.checkExcept(hosts.sectionName, hosts.Except, hosts.Count, hosts.hostName)
		if hosts.Cells > hosts.Count {
			c.faults.Add(hosts.sectionName, "cells", strconv.Itoa(hosts.Cells),
				fmt.Sprintf("is more than the %d hosts", hosts.Count), "use at most one cell for each host")
		}
		if size := hosts.maxCellSize(); hosts.Cells > 0 && size > config.MaxCellHosts {
			c.faults.Add(hosts.sectionName, "cells", strconv.Itoa(hosts.Cells),
				fmt.Sprintf("puts %d hosts into one cell, the maximum is %d", size, config.MaxCellHosts),
				fmt.Sprintf("use at least %d cells or remove the line", minCellCount(hosts.Count)))
		}
	}
	for _, zone := range c.answers.Zones {
		if !withHosts[zone.Name] && !c.hasUnknownSections {
			c.faults.Add("hosts "+zone.Name, "", "", "is missing",
				"add the section, or remove the zone from [region "+zone.Region+"]")
		}
	}
}

func (c *checker) checkZoneExists(section, zone string) {
	if !c.zones[zone] && !c.regionsIncomplete && !c.hasUnknownSections {
		c.faults.Add(section, "", zone, "is in no [region] section", "add the zone to a region")
	}
}

// checkExcept checks that every excluded name exists in the section and that at least one member remains.
func (c *checker) checkExcept(section string, except []string, count int, name func(int) string) {
	for _, excluded := range except {
		if !slices.ContainsFunc(indexes(count), func(i int) bool { return name(i) == excluded }) {
			c.faults.Add(section, "except", excluded, "is not a name of this section",
				fmt.Sprintf("use names from %s to %s", name(0), name(count-1)))
			return
		}
	}
	if len(except) == count {
		c.faults.Add(section, "except", strings.Join(except, ", "), "excludes every member of the section",
			"remove the section, or exclude fewer")
	}
}

func indexes(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}

func (c *checker) checkServers() {
	services := make(map[string]int)
	for _, service := range c.answers.Services {
		services[service.Name] = 0
	}
	for _, servers := range c.answers.Servers {
		c.checkZoneExists(servers.sectionName, servers.Zone)
		if !c.faultySections[servers.sectionName] {
			c.checkExcept(servers.sectionName, servers.Except, servers.Count, servers.serverName)
		}
		if _, ok := services[servers.Service]; !ok && !c.hasUnknownSections {
			c.faults.Add(servers.sectionName, "", servers.Service, "has no [service] section",
				"add [service "+servers.Service+"]")
			continue
		}
		services[servers.Service]++
	}
	for _, service := range c.answers.Services {
		if services[service.Name] == 0 && !c.hasUnknownSections {
			c.faults.Add("service "+service.Name, "", "", "has no backend server",
				"add [servers "+service.Name+" ZONE] for at least one zone")
		}
	}
}

func (c *checker) checkConnections() {
	for _, service := range c.answers.Services {
		if !c.faultySections["service "+service.Name] && service.Connections < service.Slots+config.SpareConnections {
			c.faults.Add("service "+service.Name, "connections", strconv.Itoa(service.Connections),
				fmt.Sprintf("is less than the %d slots and %d spare connections", service.Slots, config.SpareConnections),
				fmt.Sprintf("allow at least %d or lower the slots", service.Slots+config.SpareConnections))
		}
	}
}
