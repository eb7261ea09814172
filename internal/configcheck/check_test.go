package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// validConfig returns a configuration without findings.
func validConfig() *routing.Config {
	return &routing.Config{
		Version: 3,
		Routes: []routing.Route{
			{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, Target: 200 * time.Millisecond, MaxAttempts: 2, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "b", Host: "h", Prefix: "/a/b/", Timeout: time.Second, Target: 200 * time.Millisecond, MaxAttempts: 2, Split: []routing.WeightedService{{Service: "s", Weight: 1}}},
		},
		Services: map[string]routing.Service{"s": {Name: "s", MaxConns: 10}},
		Limits:   routing.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 1, HeaderTimeout: 1, IdleTimeout: 1},
	}
}

// Guards against a configuration that is sent with a fault that was found by nobody, and against findings that do not name the
// entry and the field.
func TestCheck(t *testing.T) {
	if findings := append(Check(validConfig()), Diff(validConfig(), &routing.Config{})...); len(Check(validConfig())) > 0 || len(findings) == 0 {
		t.Errorf("findings %v", findings)
	}
	cases := []struct {
		name   string
		change func(c *routing.Config)
		want   string
		error  bool
	}{
		{"never matches", func(c *routing.Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/a/", "H" }, `routes[1] "b" prefix`, true},
		{"same name", func(c *routing.Config) { c.Routes[1].Name = "a" }, `routes[1] "a" name`, true},
		{"no slash", func(c *routing.Config) { c.Routes[0].Prefix = "/a" }, `routes[0] "a" prefix`, true},
		{"unknown service", func(c *routing.Config) { c.Routes[0].Split[0].Service = "x" }, `routes[0] "a" service`, true},
		{"weight", func(c *routing.Config) { c.Routes[0].Split[0].Weight = 0 }, `routes[0] "a" weight`, true},
		{"timeout under the objective", func(c *routing.Config) { c.Routes[0].Timeout = time.Millisecond }, `routes[0] "a" timeout`, false},
		{"no timeout", func(c *routing.Config) { c.Routes[0].Timeout = 0 }, `routes[0] "a" timeout`, true},
		{"unused service", func(c *routing.Config) { c.Services["t"] = routing.Service{MaxConns: 1} }, `service "t" name`, false},
		{"slow start without a rate", func(c *routing.Config) {
			c.Services["s"] = routing.Service{MaxConns: 1, SlowStart: routing.SlowStart{Period: time.Second}}
		}, `service "s" slow start`, false},
		{"limit", func(c *routing.Config) { c.Limits.IdleTimeout = 0 }, "limits idle time", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := validConfig()
			c.change(config)
			findings := Check(config)
			if len(findings) != 1 || !strings.Contains(findings[0].String(), c.want) || HasErrors(findings) != c.error {
				t.Errorf("findings %v, want %q", findings, c.want)
			}
		})
	}
}

// Guards against a change that goes unnoticed, and a version that gateways ignore.
func TestDiff(t *testing.T) {
	next := validConfig()
	next.Version = 4
	next.Routes[0].Timeout = 2 * time.Second
	next.Routes[1].Name = "c"
	next.Services["t"] = routing.Service{Name: "t"}
	next.Limits.MaxBodyBytes = 2
	var lines []string
	for _, f := range Diff(validConfig(), next) {
		lines = append(lines, f.String())
	}
	want := `change: route "a" Timeout: 1s becomes 2s
change: route "b" name: removed
change: route "c" name: added
change: service "t" name: added
change: limits MaxBodyBytes: 1 becomes 2`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if !HasErrors(Diff(validConfig(), validConfig())) {
		t.Error("the same version is accepted")
	}
}

// Guards against a check that takes minutes for a large configuration.
func TestManyRoutes(t *testing.T) {
	config, routes := validConfig(), 20_000
	for i := range routes {
		route := config.Routes[0]
		route.Name, route.Prefix = fmt.Sprint("r", i), fmt.Sprintf("/r%d/", i)
		config.Routes = append(config.Routes, route)
	}
	started := time.Now()
	if findings := Check(config); len(findings) > 0 {
		t.Errorf("%d findings, the first %v", len(findings), findings[0])
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("%v for %d routes", took, routes)
	}
}
