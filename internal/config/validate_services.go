package config

import (
	"fmt"
	"math"
	"path"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

func (v *validator) checkServices() {
	switch {
	case len(v.config.Services) == 0:
		v.add("services", "", "", "no service is named", "name at least one")
	case len(v.config.Services) > MaxServices:
		v.add("services", "", strconv.Itoa(len(v.config.Services)), "too many services",
			"name at most "+strconv.Itoa(MaxServices))
	}
	seen := make(map[string]bool)
	for i := range v.config.Services {
		service := &v.config.Services[i]
		section := "service " + service.Name
		v.checkName(section, service.Name)
		if seen[service.Name] {
			v.add(section, "name", service.Name, "appears twice", "name each service once")
		}
		seen[service.Name] = true
		v.checkService(section, service)
		v.checkRules(section, service.Idempotent)
		v.checkServers(section, service)
	}
}

func (v *validator) checkService(section string, s *Service) {
	v.checkPartitions(section, s)
	v.checkRange(section, "slots", s.Slots, 1, MaxSlots, "requests")
	v.checkRange(section, "max_connections", s.MaxConnections, 1, MaxConnections, "connections")
	if s.MaxConnections >= 1 && s.Slots >= 1 && s.MaxConnections < s.Slots+SpareConnections {
		v.add(section, "max_connections", strconv.Itoa(s.MaxConnections),
			fmt.Sprintf("is less than the %d slots and %d spare connections", s.Slots, SpareConnections),
			fmt.Sprintf("allow at least %d connections or lower the slots", s.Slots+SpareConnections))
	}
	v.checkRange(section, "max_request_millis", s.MaxRequestMillis, 1, MaxTimeoutMillis, "milliseconds")
}

func (v *validator) checkPartitions(section string, s *Service) {
	value := strconv.Itoa(s.Partitions)
	switch {
	case s.Keyed && !keyspace.IsPartitionCount(s.Partitions):
		v.add(section, "partitions", value, "is not a power of two from 1 to 65536",
			"use "+strconv.Itoa(DefaultPartitions)+" unless the service has more than 100 backend servers")
	case !s.Keyed && s.Partitions != 0:
		v.add(section, "partitions", value, "is set for a service that is not divided by key", "remove it")
	}
}

func (v *validator) checkRange(section, key string, value, low, high int, unit string) {
	if value < low || value > high {
		v.add(section, key, strconv.Itoa(value), "is out of range", fmt.Sprintf("use %d to %d %s", low, high, unit))
	}
}

func (v *validator) checkRules(section string, rules []Rule) {
	if len(rules) > MaxRules {
		v.add(section, "idempotent", strconv.Itoa(len(rules)), "too many rules",
			fmt.Sprintf("use at most %d, with patterns that cover more paths", MaxRules))
	}
	for _, rule := range rules {
		if problem, remedy := rule.Problem(); problem != "" {
			v.add(section, "idempotent", rule.Method+" "+rule.Path, problem, remedy)
		}
	}
}

// Problem returns the problem of an invalid rule and its remedy, or "" for a valid rule.
func (r Rule) Problem() (problem, remedy string) {
	if !isMethod(r.Method) {
		return "has no HTTP method", "write METHOD /path, with the method in capitals or *"
	}
	if !strings.HasPrefix(r.Path, "/") {
		return "has no path", "write METHOD /path, with a path that starts with a slash"
	}
	if strings.ContainsAny(r.Path, " \t?#") {
		return "has a path with a space, query or fragment", "give the path only; queries are not matched"
	}
	pattern := strings.TrimSuffix(r.Path, subtreeSuffix)
	if strings.Contains(pattern, "**") {
		return "has ** inside the path", "use * for one segment, or /** at the end"
	}
	if _, err := path.Match(pattern, ""); err != nil {
		return "has a pattern that cannot be read", "close each bracket, and escape with a backslash"
	}
	if pattern != r.Path && strings.ContainsAny(pattern, `*?[\`) {
		return "has wildcards before /**", "name the path before /** in full"
	}
	return "", ""
}

func isMethod(method string) bool {
	if method == "*" {
		return true
	}
	for _, b := range []byte(method) {
		if b < 'A' || b > 'Z' {
			return false
		}
	}
	return method != ""
}

func (v *validator) checkServers(section string, s *Service) {
	available := 0
	for _, server := range s.Servers {
		serverSection := "server " + server.Name
		v.checkUniqueName(serverSection, server.Name)
		v.checkServerCell(serverSection, server)
		v.checkAddress(serverSection, "address", server.Address)
		v.checkWeight(serverSection, server.Weight)
		if !v.zones[server.Zone].Lost {
			available++
		}
	}
	switch {
	case len(s.Servers) == 0:
		v.add(section, "servers", "", "the service has no backend server", "name at least one")
	case available == 0:
		v.add(section, "servers", "", "every backend server lies in a zone that is declared lost",
			"add a backend server in another zone")
	}
}

// checkServerCell checks that the cell has hosts in the zone of the server. A cell without hosts has no gateway that
// could act as home of its servers. checkHosts must run first, because it fills cellZones.
func (v *validator) checkServerCell(section string, server Server) {
	zone, ok := v.cellZones[server.Cell]
	switch {
	case !ok:
		v.add(section, "cell", server.Cell, "has no entry host", "assign the server to a cell with hosts")
	case zone != server.Zone:
		v.add(section, "cell", server.Cell, "lies in zone "+zone+", not in "+server.Zone,
			"assign the server to a cell of its zone")
	}
}

func (v *validator) checkWeight(section string, weight float64) {
	if weight == 0 {
		return
	}
	if math.IsNaN(weight) || weight < MinWeight || weight > MaxWeight {
		v.add(section, "weight", strconv.FormatFloat(weight, 'g', -1, 64), "is out of range",
			fmt.Sprintf("use %g to %g; 1 is the default", float64(MinWeight), float64(MaxWeight)))
	}
}
