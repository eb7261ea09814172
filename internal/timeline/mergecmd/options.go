package mergecmd

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// ErrInvalidTime is the error of a time that cannot be read.
var ErrInvalidTime = errors.New("not a time; write it in UTC, for example 2026-12-04T04:20:40.5Z")

// options are the flags of the program.
type options struct {
	Key     string `long:"key" value-name:"KEY" description:"only events of this key (default: all)"`
	Request string `long:"request" value-name:"ID" description:"only events of this request (default: all)"`
	Host    string `long:"host" value-name:"NAME" description:"only events of this host (default: all)"`
	Cell    string `long:"cell" value-name:"NAME" description:"only events of this cell (default: all)"`
	Service string `long:"service" value-name:"NAME" description:"only events of this service (default: all)"`
	Server  string `long:"server" value-name:"NAME" description:"only events of this backend server (default: all)"`
	Kind    string `long:"kind" value-name:"KIND" description:"only events of this kind, or of all kinds of a part if it ends in a slash, such as cell/ (default: all)"`
	From    string `long:"from" value-name:"TIME" description:"only events at or after this time, UTC, RFC 3339 with a fraction of a second down to microseconds (default: all)"`
	To      string `long:"to" value-name:"TIME" description:"only events at or before this time, in the form of --from (default: all)"`
	//lint:ignore SA5008 go-flags reads one tag for each choice
	Format  string `long:"format" choice:"text" choice:"html" choice:"json" default:"text" description:"form of the output"`
	Output  string `long:"output" value-name:"FILE" description:"file for the output (default: standard output)"`
	Version bool   `long:"version" description:"show the version and end"`

	Positional struct {
		Files []string `positional-arg-name:"FILE" description:"event files or logs, one per process and named after its host; - is standard input"`
	} `positional-args:"yes"`
}

func (o *options) filter() (timeline.Filter, error) {
	from, err := parseTime(o.From)
	if err != nil {
		return timeline.Filter{}, errors.Wrap(err, "--from")
	}
	to, err := parseTime(o.To)
	if err != nil {
		return timeline.Filter{}, errors.Wrap(err, "--to")
	}
	return timeline.Filter{
		Key:     o.Key,
		Request: o.Request,
		Host:    o.Host,
		Cell:    o.Cell,
		Service: o.Service,
		Server:  o.Server,
		Kind:    o.Kind,
		From:    from,
		To:      to,
	}, nil
}

func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, errors.Wrapf(ErrInvalidTime, "%q", text)
	}
	return t, nil
}
