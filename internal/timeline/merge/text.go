package merge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// WriteText writes one line per record with its timestamp, host, kind, other fields and detail.
func (t *Timeline) WriteText(output io.Writer) error {
	w := bufio.NewWriter(output)
	hostWidth, kindWidth := t.columnWidths()
	for i := range t.Records {
		r := &t.Records[i]
		line := fmt.Sprintf("%-31s %-*s %-*s %s", r.At, hostWidth, r.Host, kindWidth, r.Kind, describe(r))
		// Flush returns the first write error.
		_, _ = w.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	return w.Flush()
}

// WriteJSON writes one JSON document per line, in the format of the event files.
func (t *Timeline) WriteJSON(output io.Writer) error {
	w := bufio.NewWriter(output)
	encoder := json.NewEncoder(w)
	for i := range t.Records {
		if err := encoder.Encode(&t.Records[i]); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (t *Timeline) columnWidths() (host, kind int) {
	for i := range t.Records {
		host = max(host, len(t.Records[i].Host))
		kind = max(kind, len(t.Records[i].Kind))
	}
	return host, kind
}

// describe returns the non-empty fields of a record other than host and kind, followed by its detail.
func describe(r *timeline.Record) string {
	parts := make([]string, 0, 6)
	for _, field := range []struct{ name, value string }{
		{"cell", r.Cell},
		{"service", r.Service},
		{"server", r.Server},
		{"key", r.Key},
		{"request", r.Request},
	} {
		if field.value != "" {
			parts = append(parts, field.name+"="+quoteField(field.value))
		}
	}
	if r.Detail != "" {
		parts = append(parts, quoteControlChars(r.Detail))
	}
	return strings.Join(parts, " ")
}

// quoteField quotes a value that contains spaces, quotes, equals signs or control characters.
func quoteField(value string) string {
	if strings.ContainsAny(value, " \"=") || quoteControlChars(value) != value {
		return strconv.Quote(value)
	}
	return value
}

// quoteControlChars quotes text with unprintable characters. Clients can put them into keys and details, where they
// could otherwise alter the output.
func quoteControlChars(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}
