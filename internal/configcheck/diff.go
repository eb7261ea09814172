package configcheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// Diff returns what a configuration changes against the version in force. A version that is not above the one in force is an
// error: gateways ignore it.
func Diff(inForce, next *routing.Config) []Finding {
	var findings []Finding
	if next.Version <= inForce.Version {
		findings = append(findings, Finding{SeverityError, "configuration", "version", fmt.Sprintf("%d is not above %d, which is in force, so gateways ignore it; raise it", next.Version, inForce.Version)})
	}
	findings = append(findings, diffEntries(byName(inForce.Routes), byName(next.Routes), "route")...)
	findings = append(findings, diffEntries(inForce.Services, next.Services, "service")...)
	return append(findings, diffFields("limits", inForce.Limits, next.Limits)...)
}

func byName(routes []routing.Route) map[string]routing.Route {
	named := make(map[string]routing.Route, len(routes))
	for _, route := range routes {
		named[route.Name] = route
	}
	return named
}

// diffEntries compares entries by name.
func diffEntries[T any](inForce, next map[string]T, kind string) []Finding {
	names := maps.Clone(inForce)
	maps.Copy(names, next)
	var findings []Finding
	for _, name := range slices.Sorted(maps.Keys(names)) {
		entry := fmt.Sprintf("%s %q", kind, name)
		before, had := inForce[name]
		after, has := next[name]
		switch {
		case !has:
			findings = append(findings, Finding{SeverityChange, entry, "name", "removed"})
		case !had:
			findings = append(findings, Finding{SeverityChange, entry, "name", "added"})
		default:
			findings = append(findings, diffFields(entry, before, after)...)
		}
	}
	return findings
}

// diffFields compares two structs field by field.
func diffFields(entry string, before, after any) []Finding {
	var findings []Finding
	old, now := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		was, is := old.Field(i).Interface(), now.Field(i).Interface()
		if !reflect.DeepEqual(was, is) {
			findings = append(findings, Finding{SeverityChange, entry, old.Type().Field(i).Name, fmt.Sprintf("%v becomes %v", was, is)})
		}
	}
	return findings
}
