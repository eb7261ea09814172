// Package merge orders the events of many processes and shows them as text or as a picture.
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

// maxLineBytes bounds one line of a file.
const maxLineBytes = 1 << 20

// Timeline holds the selected records of all files in one order.
type Timeline struct {
	Records []timeline.Record
	// RecordsRead is the number of records in the files, selected or not.
	RecordsRead int
	// MalformedLines is the number of lines that are no records, such as the last line of a killed process.
	MalformedLines int
}

// Merger collects records.
type Merger struct {
	filter timeline.Filter
	result Timeline
}

// New returns a merger that selects records by filter.
func New(filter timeline.Filter) *Merger {
	return &Merger{filter: filter}
}

// Add reads the records of one file, which holds events or the log of a process. Host is that of records without one.
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

// errNotEvent means that a document is not an event.
var errNotEvent = errors.New("not an event; it has no time or kind")

// parseLine reads an event, or a line of a log.
func parseLine(line []byte) (timeline.Record, error) {
	var record timeline.Record
	if err := json.Unmarshal(line, &record); err != nil {
		return parseLogLine(line)
	}
	if record.At == 0 || record.Kind == "" {
		return timeline.Record{}, errNotEvent
	}
	return record, nil
}

// Timeline returns the records in the order of their hybrid time. Equal times have no causal order; the host decides.
func (m *Merger) Timeline() Timeline {
	slices.SortStableFunc(m.result.Records, func(a, b timeline.Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Host, b.Host))
	})
	return m.result
}
