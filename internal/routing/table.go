package routing

import (
	"net"
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	config *Config
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
}

// NewTable indexes a configuration.
func NewTable(config *Config) *Table {
	hosts := make(map[string][]*Route)
	for i := range config.Routes {
		route := &config.Routes[i]
		host := normalizeHost(route.Host)
		hosts[host] = append(hosts[host], route)
	}
	for _, routes := range hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return &Table{config: config, hosts: hosts}
}

// Config returns the configuration that the table was made of.
func (t *Table) Config() *Config { return t.config }

// Find returns the route with the longest prefix that begins the path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, route := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// normalizeHost removes the port and the case of a host.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
