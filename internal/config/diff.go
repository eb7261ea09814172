package config

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind classifies a Change.
type ChangeKind string

const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "changed"
)

// Change is one difference between two configurations: an element that was added or removed, or a setting with another
// value.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Section identifies the element, for example "host zlin-h02".
	Section string `json:"section"`
	// Key, Before and After are set only if Kind is ChangeModified.
	Key    string `json:"key,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change for operators, for example "service tracker slots: 3 -> 4".
func (c Change) String() string {
	if c.Kind != ChangeModified {
		return c.Section + " " + string(c.Kind)
	}
	return fmt.Sprintf("%s %s: %s -> %s", c.Section, c.Key, valueOrNone(c.Before), valueOrNone(c.After))
}

func valueOrNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// Difference describes the effect of replacing one configuration by another.
type Difference struct {
	Changes []Change `json:"changes"`
	// Moves has an entry for each sharded service of both configurations whose partitions move between cells.
	Moves []PartitionMoves `json:"moves"`
}

func (d Difference) IsEmpty() bool { return len(d.Changes) == 0 }

// Summary describes the changes in one line of at most MaxChangeBytes.
func (d Difference) Summary() string {
	if d.IsEmpty() {
		return "no change"
	}
	lines := make([]string, len(d.Changes))
	for i, change := range d.Changes {
		lines[i] = change.String()
	}
	return truncate(strings.Join(lines, "; "), MaxChangeBytes)
}

// Diff returns the changes from c to next, and the partitions that move. It ignores revision, id and history. It is
// expensive if cells or weights differ, because it computes the affected placements.
func (c *Config) Diff(next *Config) Difference {
	return Difference{Changes: c.Changes(next), Moves: c.partitionMoves(next)}
}

// Changes returns the changes from c to next without computing placements.
func (c *Config) Changes(next *Config) []Change {
	d := &differ{}
	d.diffValue("team", "name", c.Team, next.Team)
	d.diffValue("preference", "favour", string(c.Preference), string(next.Preference))
	diffLists(d, "zone", c.Zones, next.Zones, func(z Zone) string { return z.Name })
	diffLists(d, "host", c.Hosts, next.Hosts, func(h Host) string { return h.Name })
	diffLists(d, "service", c.Services, next.Services, func(s Service) string { return s.Name })
	for _, service := range next.Services {
		if before, ok := c.Service(service.Name); ok {
			diffLists(d, "server", before.Servers, service.Servers, func(s Server) string { return s.Name })
		}
	}
	diffLists(d, "stop", c.Stops, next.Stops, func(s Stop) string { return s.Target })
	return d.changes
}

// differ collects the changes between two configurations.
type differ struct {
	changes []Change
}

func (d *differ) diffValue(section, key, before, after string) {
	if before != after {
		d.changes = append(d.changes, Change{Kind: ChangeModified, Section: section, Key: key, Before: before, After: after})
	}
}

// diffLists records the elements that were added or removed, identified by name, and compares the fields of those in
// both lists.
func diffLists[T any](d *differ, kind string, before, after []T, name func(T) string) {
	previousByName := make(map[string]T, len(before))
	for _, element := range before {
		previousByName[name(element)] = element
	}
	present := make(map[string]bool, len(after))
	for _, element := range after {
		section := kind + " " + name(element)
		present[name(element)] = true
		if previous, ok := previousByName[name(element)]; ok {
			d.diffFields(section, reflect.ValueOf(previous), reflect.ValueOf(element))
			continue
		}
		d.changes = append(d.changes, Change{Kind: ChangeAdded, Section: section})
	}
	for _, element := range before {
		if !present[name(element)] {
			d.changes = append(d.changes, Change{Kind: ChangeRemoved, Section: kind + " " + name(element)})
		}
	}
}

// diffFields compares two structs field by field and reports each field under its JSON name. It skips lists of servers,
// which Changes compares by name.
func (d *differ) diffFields(section string, before, after reflect.Value) {
	for i := range before.NumField() {
		field := before.Type().Field(i)
		if field.Type == reflect.TypeFor[[]Server]() {
			continue
		}
		key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		d.diffValue(section, key, formatValue(before.Field(i).Interface()), formatValue(after.Field(i).Interface()))
	}
}

// formatValue formats a setting for operators, with booleans and rules written as in the questionnaire: yes or no, and
// METHOD /path.
func formatValue(value any) string {
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
