package timeline

import (
	"strings"
	"time"
)

// Filter selects records. Empty fields select everything.
type Filter struct {
	Key     string
	Request string
	Host    string
	Cell    string
	Service string
	Server  string
	// Kind selects one kind, or all kinds of a part if it ends in "/" ("cell/").
	Kind string
	// From and To bound the wall clock part; both ends are included.
	From time.Time
	To   time.Time
}

// Match says whether the filter selects r.
func (f *Filter) Match(r *Record) bool {
	return matchText(f.Key, r.Key) &&
		matchText(f.Request, r.Request) &&
		matchText(f.Host, r.Host) &&
		matchText(f.Cell, r.Cell) &&
		matchText(f.Service, r.Service) &&
		matchText(f.Server, r.Server) &&
		f.matchKind(string(r.Kind)) &&
		f.matchTime(r.At.Wall())
}

func matchText(want, got string) bool {
	return want == "" || want == got
}

func (f *Filter) matchKind(kind string) bool {
	if strings.HasSuffix(f.Kind, "/") {
		return strings.HasPrefix(kind, f.Kind)
	}
	return matchText(f.Kind, kind)
}

func (f *Filter) matchTime(wall time.Time) bool {
	if !f.From.IsZero() && wall.Before(f.From) {
		return false
	}
	return f.To.IsZero() || !wall.After(f.To)
}
