package routing

import (
	"net"
	"slices"
	"strings"
)

// Table maps requests to routes. It is immutable.
type Table struct {
	config *Config
	// hosts holds the routes by normalized host name, longest prefix first.
	hosts map[string][]*Route
}

// NewTable builds the lookup table for a configuration.
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

// Config returns the configuration from which the table was built.
func (t *Table) Config() *Config { return t.config }

// Find returns the route with the longest prefix that matches the path, or nil.
func (t *Table) Find(host, path string) *Route {
	for _, route := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// normalizeHost removes the port and converts the host to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
