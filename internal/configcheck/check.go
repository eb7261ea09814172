package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// Check returns the errors and warnings of a configuration, in the order of its entries.
func Check(config *routing.Config) []Finding {
	c := checker{config: config, used: make(map[string]bool)}
	c.checkRoutes()
	c.checkServices()
	c.checkLimits()
	return c.findings
}

type checker struct {
	config   *routing.Config
	findings []Finding
	// used are the services that routes name.
	used map[string]bool
}

func (c *checker) add(severity Severity, entry, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Entry: entry, Field: field, Detail: fmt.Sprintf(format, args...)})
}

// matchKey is what decides which requests a route matches.
type matchKey struct{ host, prefix string }

func (c *checker) checkRoutes() {
	names, matches := make(map[string]int), make(map[matchKey]int)
	for i, route := range c.config.Routes {
		entry := routeEntry(i, route.Name)
		if first, repeated := names[route.Name]; repeated {
			c.add(SeverityError, entry, "name", "routes[%d] has the same name; name each route once", first)
		} else {
			names[route.Name] = i
		}
		key := matchKey{strings.ToLower(route.Host), route.Prefix}
		if first, shadowed := matches[key]; shadowed {
			c.add(SeverityError, entry, "prefix", "routes[%d] has the same host and prefix, so this route never matches; remove one", first)
		} else {
			matches[key] = i
		}
		c.checkMatch(entry, route)
		c.checkSplit(entry, route)
		c.checkTimes(entry, route)
	}
}

func (c *checker) checkMatch(entry string, route routing.Route) {
	if route.Host == "" {
		c.add(SeverityError, entry, "host", "is empty, so the route never matches; name the host of the requests")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.add(SeverityError, entry, "prefix", "%q does not begin and end with a slash; write it as /path/", route.Prefix)
	}
}

func (c *checker) checkSplit(entry string, route routing.Route) {
	if len(route.Split) == 0 {
		c.add(SeverityError, entry, "service", "no service; name one")
	}
	for _, share := range route.Split {
		c.used[share.Service] = true
		if _, known := c.config.Services[share.Service]; !known {
			c.add(SeverityError, entry, "service", "%q is not among the services; add it, or name another one", share.Service)
		}
		if share.Weight <= 0 {
			c.add(SeverityError, entry, "weight", "%d for %q; use a number above 0, or leave the service out", share.Weight, share.Service)
		}
	}
}

func (c *checker) checkTimes(entry string, route routing.Route) {
	switch {
	case route.Timeout <= 0:
		c.add(SeverityError, entry, "timeout", "%v, so no request is answered; use a time above 0", route.Timeout)
	case route.Target <= 0:
		c.add(SeverityError, entry, "target", "latency objective %v; use a time above 0", route.Target)
	case route.Timeout < route.Target:
		c.add(SeverityWarning, entry, "timeout", "%v ends requests before their latency objective of %v; raise it, or lower the objective", route.Timeout, route.Target)
	}
	if route.MaxAttempts < 1 {
		c.add(SeverityError, entry, "attempts", "%d; use 1 or more", route.MaxAttempts)
	}
	if route.Priority < 0 {
		c.add(SeverityWarning, entry, "priority", "%d counts as 0; use 0 for the most urgent routes", route.Priority)
	}
}

func (c *checker) checkServices() {
	for _, name := range slices.Sorted(maps.Keys(c.config.Services)) {
		service, entry := c.config.Services[name], serviceEntry(name)
		if !c.used[name] {
			c.add(SeverityWarning, entry, "name", "no route leads to the service; remove it, or add a route")
		}
		if service.MaxConns < 1 {
			c.add(SeverityError, entry, "connections", "%d, so no server can be reached; use 1 or more", service.MaxConns)
		}
		if slow := service.SlowStart; slow.Period > 0 && slow.Rate == 0 {
			c.add(SeverityWarning, entry, "slow start", "lasts %v without a rate, so it limits nothing; set a rate, or no time", slow.Period)
		}
		if service.Warmup > 0 && !service.Sharded {
			c.add(SeverityWarning, entry, "warm-up", "%v has no effect without keys; remove it, or divide the service by key", service.Warmup)
		}
	}
}

func (c *checker) checkLimits() {
	limits := c.config.Limits
	for _, limit := range []struct {
		field string
		value int64
	}{
		{"longest head", int64(limits.MaxHeaderBytes)}, {"longest body", limits.MaxBodyBytes},
		{"time for the head", int64(limits.HeaderTimeout)}, {"idle time", int64(limits.IdleTimeout)},
	} {
		if limit.value <= 0 {
			c.add(SeverityError, "limits", limit.field, "is %d; use a value above 0", limit.value)
		}
	}
}
