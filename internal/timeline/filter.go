package timeline

import (
	"strings"
	"time"
)

// Filter selects records by their fields. An empty field matches everything.
type Filter struct {
	Key     string
	Request string
	Host    string
	Cell    string
	Service string
	Server  string
	// Kind matches one kind, or all kinds of a component if it ends in a slash, such as "cell/".
	Kind string
	// From and To limit the wall-clock time, inclusively.
	From time.Time
	To   time.Time
}

// Match reports whether r matches all fields of the filter.
func (f *Filter) Match(r *Record) bool {
	return matchField(f.Key, r.Key) &&
		matchField(f.Request, r.Request) &&
		matchField(f.Host, r.Host) &&
		matchField(f.Cell, r.Cell) &&
		matchField(f.Service, r.Service) &&
		matchField(f.Server, r.Server) &&
		f.matchKind(string(r.Kind)) &&
		f.matchTime(r.At.Wall())
}

func matchField(want, got string) bool {
	return want == "" || want == got
}

func (f *Filter) matchKind(kind string) bool {
	if strings.HasSuffix(f.Kind, "/") {
		return strings.HasPrefix(kind, f.Kind)
	}
	return matchField(f.Kind, kind)
}

func (f *Filter) matchTime(wall time.Time) bool {
	if !f.From.IsZero() && wall.Before(f.From) {
		return false
	}
	return f.To.IsZero() || !wall.After(f.To)
}
