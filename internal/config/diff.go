package config

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind says what happened to an element or setting.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Section names the element, for example "host zlin-h02".
	Section string `json:"section"`
	// Key, Before and After are set for a changed setting.
	Key    string `json:"key,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as a few words.
func (c Change) String() string {
	if c.Kind != ChangeModified {
		return c.Section + " " + string(c.Kind)
	}
	return fmt.Sprintf("%s %s: %s -> %s", c.Section, c.Key, orNone(c.Before), orNone(c.After))
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// Difference is what a revision changes.
type Difference struct {
	Changes []Change `json:"changes"`
	// Moves holds each keyed service of both configurations whose partitions move between cells.
	Moves []PartitionMoves `json:"moves"`
}

// IsEmpty reports whether nothing changes.
func (d Difference) IsEmpty() bool { return len(d.Changes) == 0 }

// Summary describes the difference in one line of bounded length.
func (d Difference) Summary() string {
	if d.IsEmpty() {
		return "no change"
	}
	lines := make([]string, len(d.Changes))
	for i, change := range d.Changes {
		lines[i] = change.String()
	}
	return cut(strings.Join(lines, "; "), MaxChangeBytes)
}

// Diff returns what next changes compared with c. Revision, id and history are not compared. It computes the
// placements that change.
func (c *Config) Diff(next *Config) Difference {
	return Difference{Changes: c.Changes(next), Moves: c.moves(next)}
}

// Changes returns the changes of Diff without the moves.
func (c *Config) Changes(next *Config) []Change {
	d := &differ{}
	d.setting("team", "name", c.Team, next.Team)
	d.setting("preference", "favour", string(c.Preference), string(next.Preference))
	elements(d, "zone", c.Zones, next.Zones, func(z Zone) string { return z.Name })
	elements(d, "host", c.Hosts, next.Hosts, func(h Host) string { return h.Name })
	elements(d, "service", c.Services, next.Services, func(s Service) string { return s.Name })
	for _, service := range next.Services {
		if before, ok := c.Service(service.Name); ok {
			elements(d, "server", before.Servers, service.Servers, func(s Server) string { return s.Name })
		}
	}
	elements(d, "stop", c.Stops, next.Stops, func(s PlannedStop) string { return s.Target })
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) setting(section, key, before, after string) {
	if before != after {
		d.changes = append(d.changes, Change{Kind: ChangeModified, Section: section, Key: key, Before: before, After: after})
	}
}

// elements compares two lists by name and the members of the elements that are in both.
func elements[T any](d *differ, kind string, before, after []T, name func(T) string) {
	old := make(map[string]T, len(before))
	for _, element := range before {
		old[name(element)] = element
	}
	kept := make(map[string]bool, len(after))
	for _, element := range after {
		section := kind + " " + name(element)
		kept[name(element)] = true
		if previous, ok := old[name(element)]; ok {
			d.members(section, reflect.ValueOf(previous), reflect.ValueOf(element))
			continue
		}
		d.changes = append(d.changes, Change{Kind: ChangeAdded, Section: section})
	}
	for _, element := range before {
		if !kept[name(element)] {
			d.changes = append(d.changes, Change{Kind: ChangeRemoved, Section: kind + " " + name(element)})
		}
	}
}

// members compares the fields of two structs by the names of their JSON members.
func (d *differ) members(section string, before, after reflect.Value) {
	for i := range before.NumField() {
		field := before.Type().Field(i)
		if field.Type == reflect.TypeFor[[]Server]() {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		d.setting(section, key, text(before.Field(i).Interface()), text(after.Field(i).Interface()))
	}
}

// text returns a value as operators write it.
func text(value any) string {
	switch v := value.(type) {
	case []Rule:
		rules := make([]string, len(v))
		for i, rule := range v {
			rules[i] = rule.Method + " " + rule.Path
		}
		return strings.Join(rules, ", ")
	case bool:
		if v {
			return "yes"
		}
		return "no"
	default:
		return fmt.Sprint(v)
	}
}
