// Package merge merges the events of several processes into one timeline and renders it as text, JSON or HTML.
package merge

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// maxLineBytes limits the length of an input line.
const maxLineBytes = 1 << 20

// Timeline holds the records that match the filter, from all files and ordered by timestamp.
type Timeline struct {
	Records []timeline.Record
	// RecordsRead is the number of valid records in the files, whether or not they match the filter.
	RecordsRead int
	// MalformedLines is the number of lines that are not valid records, such as a last line truncated by a crash.
	MalformedLines int
}

// Merger collects records from several files.
type Merger struct {
	filter timeline.Filter
	result Timeline
}

// New returns a Merger that keeps the records that match filter.
func New(filter timeline.Filter) *Merger {
	return &Merger{filter: filter}
}

// Add reads the records of one event file or process log. Records without a host get the given one.
func (m *Merger) Add(file io.Reader, host string) error {
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		m.addLine(lines.Bytes(), host)
	}
	return errors.Wrap(lines.Err(), "read events")
}

func (m *Merger) addLine(line []byte, host string) {
	record, err := parseLine(line)
	if err != nil {
		m.result.MalformedLines++
		return
	}
	if record.Host == "" {
		record.Host = host
	}
	m.result.RecordsRead++
	if m.filter.Match(&record) {
		m.result.Records = append(m.result.Records, record)
	}
}

// errInvalidEvent is returned for JSON documents that are not events.
var errInvalidEvent = errors.New("invalid event: the time or the kind is missing")

// parseLine parses a JSON event or a log line.
func parseLine(line []byte) (timeline.Record, error) {
	var record timeline.Record
	if err := json.Unmarshal(line, &record); err != nil {
		return parseLogLine(line)
	}
	if record.At == 0 || record.Kind == "" {
		return timeline.Record{}, errInvalidEvent
	}
	return record, nil
}

// Timeline returns the records ordered by timestamp. Records with equal timestamps are not causally related and are
// ordered by host.
func (m *Merger) Timeline() Timeline {
	slices.SortStableFunc(m.result.Records, func(a, b timeline.Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Host, b.Host))
	})
	return m.result
}
