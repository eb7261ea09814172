package merge

import (
	"bytes"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// errInvalidLogLine is returned for lines that are not in the log format of the programs.
var errInvalidLogLine = errors.New("invalid log line: the time is missing, or the message has no component prefix")

// parseLogLine converts a log line to a record. Log collectors may prepend a time and the host name: the last word
// before the log line, if there is one, is taken as the host.
func parseLogLine(line []byte) (timeline.Record, error) {
	start := bytes.Index(line, []byte("time="))
	if start < 0 {
		return timeline.Record{}, errInvalidLogLine
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
		return timeline.Record{}, errInvalidLogLine
	}
	record.Detail = strings.Join(details, " ")
	return record, nil
}

// addField sets the record field that corresponds to a log field. If there is none, it returns the text to append to
// the record's detail.
func addField(record *timeline.Record, name, value string) (string, error) {
	switch name {
	case "time":
		at, err := time.Parse(time.RFC3339Nano, value)
		record.At = timeline.FromTime(at)
		return "", err
	case "msg":
		component, message, found := strings.Cut(value, ": ")
		if !found {
			return "", errInvalidLogLine
		}
		record.Kind = timeline.Kind(component + "/" + strings.ReplaceAll(message, " ", "-"))
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
		return name + "=" + quoteField(value), nil
	}
	return "", nil
}
