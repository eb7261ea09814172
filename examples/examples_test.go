package examples_test

import (
	"testing"

	"github.com/sapphireplank/sapphireplank/examples"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Guards against examples whose sizes differ from the table in docs/design.md, or that allow requests of a method that
// changes data to be executed twice.
func TestExamplesMatchDesign(t *testing.T) {
	type size struct {
		keyed                       bool
		servers, slots, connections int
	}
	cases := map[string]struct {
		hosts, zones int
		preference   config.Preference
		services     map[string]size
	}{
		examples.Moravia: {12, 4, config.PreferAvailability, map[string]size{
			"tracker": {true, 16, 3, 120}, "dispatch": {false, 10, 3, 120}, "certify": {false, 8, 3, 120}}},
		examples.Kyushu: {10, 4, config.PreferBalance, map[string]size{
			"draftdesk": {true, 20, 6, 130}, "feeledger": {false, 10, 6, 130}, "wardlink": {false, 8, 6, 130}}},
	}
	for name, want := range cases {
		c, err := examples.Config(name)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(c.Hosts) != want.hosts || len(c.Zones) != want.zones || c.Preference != want.preference || len(c.Services) != 3 {
			t.Errorf("%s: %d hosts, %d zones, preference %s, %d services", name, len(c.Hosts), len(c.Zones), c.Preference, len(c.Services))
		}
		for _, s := range c.Services {
			if got := (size{s.Keyed, len(s.Servers), s.Slots, s.MaxConnections}); got != want.services[s.Name] {
				t.Errorf("%s: service %s is %+v, want %+v", name, s.Name, got, want.services[s.Name])
			}
			for _, method := range []string{"POST", "PUT", "DELETE", "PATCH"} {
				if s.IsIdempotent(method, "/bookings/1") {
					t.Errorf("%s: %s of service %s is idempotent, so it may be executed twice", name, method, s.Name)
				}
			}
		}
	}
	if _, err := examples.Config("brno"); err == nil {
		t.Error("unknown example has a configuration")
	}
}
