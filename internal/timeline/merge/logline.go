package merge

import (
	"bytes"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// errNotLogLine means that a line is not one of a process's log.
var errNotLogLine = errors.New("not a log line; it has no time, or its message does not begin with a part")

// parseLogLine reads a line of a process's log as an event. Programs that collect logs may put a time and the name of the
// host before it.
func parseLogLine(line []byte) (timeline.Record, error) {
	start := bytes.Index(line, []byte("time="))
	if start < 0 {
		return timeline.Record{}, errNotLogLine
	}
	var record timeline.Record
	if prefix := bytes.Fields(line[:start]); len(prefix) > 0 {
		record.Host = string(prefix[len(prefix)-1])
	}
	var details []string
	decoder := logfmt.NewDecoder(bytes.NewReader(line[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			detail, err := addField(&record, string(decoder.Key()), string(decoder.Value()))
			if err != nil {
				return timeline.Record{}, err
			}
			if detail != "" {
				details = append(details, detail)
			}
		}
	}
	if decoder.Err() != nil || record.At == 0 || record.Kind == "" {
		return timeline.Record{}, errNotLogLine
	}
	record.Detail = strings.Join(details, " ")
	return record, nil
}

// addField takes one field of a log line. It returns the fields that have no place of their own in an event.
func addField(record *timeline.Record, name, value string) (string, error) {
	switch name {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, value)
		record.At = timeline.FromTime(at)
		return "", err
	case "msg":
		part, message, found := strings.Cut(value, ": ")
		if !found {
			return "", errNotLogLine
		}
		record.Kind = timeline.Kind(part + "/" + strings.ReplaceAll(message, " ", "-"))
	case "id":
		record.Request = value
	case "server":
		record.Server = value
	case "service":
		record.Service = value
	case "key":
		record.Key = value
	case "level":
		if value != "info" {
			return value, nil
		}
	default:
		return name + "=" + quoted(value), nil
	}
	return "", nil
}
