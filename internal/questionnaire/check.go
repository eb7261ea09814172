package questionnaire

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// sort brings the answers into an order that does not depend on the order of the sections.
func (a *Answers) sort() {
	slices.SortStableFunc(a.Zones, func(x, y ZoneAnswer) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(a.Hosts, func(x, y HostsAnswer) int { return cmp.Compare(x.Zone, y.Zone) })
	slices.SortFunc(a.Services, func(x, y ServiceAnswer) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(a.Servers, func(x, y ServersAnswer) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Zone, y.Zone))
	})
	for i := range a.Services {
		a.Services[i].sortRules()
	}
	slices.Sort(a.Tolerated)
}

func (s *ServiceAnswer) sortRules() {
	slices.SortFunc(s.Idempotent, func(x, y config.Rule) int {
		return cmp.Or(cmp.Compare(x.Path, y.Path), cmp.Compare(x.Method, y.Method))
	})
	s.Idempotent = slices.Compact(s.Idempotent)
}

// check adds the faults that concern several sections. It leaves out what depends on a section with a fault, so that
// one mistake gives one fault. A misnamed section may be any of those that seem to be missing.
func check(a *Answers, faults *config.ValidationErrors, misnamed bool) {
	c := &checker{answers: a, faults: faults, misnamed: misnamed, zones: make(map[string]bool), broken: make(map[string]bool)}
	for _, fault := range *faults {
		c.broken[fault.Section] = true
		kind, _, _ := strings.Cut(fault.Section, " ")
		c.regionBroken = c.regionBroken || kind == "region"
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
	answers  *Answers
	faults   *config.ValidationErrors
	misnamed bool
	// zones are the zones of all regions. They are not complete if regionBroken is true.
	zones        map[string]bool
	regionBroken bool
	// broken holds the sections that had faults before.
	broken map[string]bool
}

func (c *checker) checkZones() {
	for _, zone := range c.answers.Zones {
		if c.zones[zone.Name] && !c.regionBroken {
			c.faults.Add("region "+zone.Region, "zones", zone.Name, "belongs to two regions", "name it in one of them")
		}
		c.zones[zone.Name] = true
	}
	if c.broken["losses"] || c.regionBroken || c.misnamed || len(c.answers.Zones) == 0 {
		return
	}
	for _, zone := range c.answers.LostZones {
		if !c.zones[zone] {
			c.faults.Add("losses", "lost-zones", zone, "is in no [region] section", "name a zone of a region")
		}
	}
	if len(c.answers.LostZones) == len(c.answers.Zones) {
		c.faults.Add("losses", "lost-zones", strings.Join(c.answers.LostZones, ", "),
			"names every availability zone", "leave at least one zone in service")
	}
}

func (c *checker) checkHosts() {
	withHosts := make(map[string]bool)
	for _, hosts := range c.answers.Hosts {
		withHosts[hosts.Zone] = true
		c.knownZone(hosts.sectionOrigin, hosts.Zone)
		if c.broken[hosts.sectionOrigin] {
			continue
		}
		c.except(hosts.sectionOrigin, hosts.Except, hosts.Count, hosts.name)
		if hosts.Cells > hosts.Count {
			c.faults.Add(hosts.sectionOrigin, "cells", strconv.Itoa(hosts.Cells),
				fmt.Sprintf("is more than the %d hosts", hosts.Count), "use at most one cell for each host")
		}
		if most := hosts.largestCell(); hosts.Cells > 0 && most > config.MaxCellHosts {
			c.faults.Add(hosts.sectionOrigin, "cells", strconv.Itoa(hosts.Cells),
				fmt.Sprintf("puts %d hosts into a cell that holds at most %d", most, config.MaxCellHosts),
				fmt.Sprintf("use at least %d cells or remove the line", cellCount(hosts.Count)))
		}
	}
	for _, zone := range c.answers.Zones {
		if !withHosts[zone.Name] && !c.misnamed {
			c.faults.Add("hosts "+zone.Name, "", "", "is missing",
				"add the section, or remove the zone from [region "+zone.Region+"]")
		}
	}
}

func (c *checker) knownZone(section, zone string) {
	if !c.zones[zone] && !c.regionBroken && !c.misnamed {
		c.faults.Add(section, "", zone, "is in no [region] section", "add the zone to a region")
	}
}

// except checks that the names that are left out exist and that one remains.
func (c *checker) except(section string, except []string, count int, name func(int) string) {
	for _, left := range except {
		if !slices.ContainsFunc(indexes(count), func(i int) bool { return name(i) == left }) {
			c.faults.Add(section, "except", left, "is not a name of this section",
				fmt.Sprintf("use names from %s to %s", name(0), name(count-1)))
			return
		}
	}
	if len(except) == count {
		c.faults.Add(section, "except", strings.Join(except, ", "), "leaves nothing of the section",
			"remove the section, or leave out fewer")
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
		c.knownZone(servers.sectionOrigin, servers.Zone)
		if !c.broken[servers.sectionOrigin] {
			c.except(servers.sectionOrigin, servers.Except, servers.Count, servers.name)
		}
		if _, ok := services[servers.Service]; !ok && !c.misnamed {
			c.faults.Add(servers.sectionOrigin, "", servers.Service, "has no [service] section",
				"add [service "+servers.Service+"]")
			continue
		}
		services[servers.Service]++
	}
	for _, service := range c.answers.Services {
		if services[service.Name] == 0 && !c.misnamed {
			c.faults.Add("service "+service.Name, "", "", "has no backend server",
				"add [servers "+service.Name+" ZONE] for at least one zone")
		}
	}
}

func (c *checker) checkConnections() {
	for _, service := range c.answers.Services {
		if !c.broken["service "+service.Name] && service.Connections < service.Slots+config.SpareConnections {
			c.faults.Add("service "+service.Name, "connections", strconv.Itoa(service.Connections),
				fmt.Sprintf("is less than the %d slots and %d spare connections", service.Slots, config.SpareConnections),
				fmt.Sprintf("allow at least %d or lower the slots", service.Slots+config.SpareConnections))
		}
	}
}
