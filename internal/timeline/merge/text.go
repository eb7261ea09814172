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

// WriteText writes one line per record: time, host, kind, fields, detail.
func (t *Timeline) WriteText(output io.Writer) error {
	w := bufio.NewWriter(output)
	hostWidth, kindWidth := t.widths()
	for i := range t.Records {
		r := &t.Records[i]
		line := fmt.Sprintf("%-31s %-*s %-*s %s", r.At, hostWidth, r.Host, kindWidth, r.Kind, description(r))
		// bufio keeps the first error for Flush.
		_, _ = w.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	return w.Flush()
}

// WriteJSON writes one JSON document per record, as processes write them.
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

func (t *Timeline) widths() (host, kind int) {
	for i := range t.Records {
		host = max(host, len(t.Records[i].Host))
		kind = max(kind, len(t.Records[i].Kind))
	}
	return host, kind
}

// description returns the fields of a record that are set, and its detail.
func description(r *timeline.Record) string {
	parts := make([]string, 0, 6)
	for _, field := range []struct{ name, value string }{
		{"cell", r.Cell},
		{"service", r.Service},
		{"server", r.Server},
		{"key", r.Key},
		{"request", r.Request},
	} {
		if field.value != "" {
			parts = append(parts, field.name+"="+quoted(field.value))
		}
	}
	if r.Detail != "" {
		parts = append(parts, quotedControls(r.Detail))
	}
	return strings.Join(parts, " ")
}

// quoted quotes values that would not read as one word.
func quoted(value string) string {
	if strings.ContainsAny(value, " \"=") || quotedControls(value) != value {
		return strconv.Quote(value)
	}
	return value
}

// quotedControls quotes text with control characters, which keys and details from callers can contain.
func quotedControls(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}
