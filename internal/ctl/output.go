package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// style is an ANSI code for one colour.
type style string

// Styles.
const (
	plain  style = ""
	good   style = "\x1b[32m"
	notice style = "\x1b[33m"
	bad    style = "\x1b[31m"
	bold   style = "\x1b[1m"
	reset        = "\x1b[0m"
)

// paint colours text on a terminal.
func (s *session) paint(with style, text string) string {
	if with == plain || !s.program.IsTerminal || s.program.Getenv("NO_COLOR") != "" {
		return text
	}
	return string(with) + text + reset
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(s.program.Stdout, format, args...) }

// printJSON prints an indented document.
func (s *session) printJSON(document any) error {
	encoder := json.NewEncoder(s.program.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(document), "encode the output")
}

// errorDocument is an error as JSON.
type errorDocument struct {
	Error  string                   `json:"error"`
	Faults []config.ValidationError `json:"faults,omitempty"`
}

// printError prints one line for each fault, or the error.
func (s *session) printError(err error) {
	var faults config.ValidationErrors
	isFaults := errors.As(err, &faults)
	if s.options.JSON {
		encoder := json.NewEncoder(s.program.Stderr)
		encoder.SetEscapeHTML(false)
		// Only a closed standard error can fail here, and there is no other place for the error.
		_ = encoder.Encode(errorDocument{Error: err.Error(), Faults: faults})
		return
	}
	if !isFaults {
		fmt.Fprintf(s.program.Stderr, "plankctl: %v\n", err)
		return
	}
	for _, fault := range faults {
		fmt.Fprintf(s.program.Stderr, "plankctl: %s\n", fault)
	}
}

// cell is one entry of a table.
type cell struct {
	text  string
	style style
}

// table prints rows in aligned columns.
type table struct {
	rows [][]cell
}

func (t *table) head(titles ...string) {
	row := make([]cell, len(titles))
	for i, title := range titles {
		row[i] = cell{title, bold}
	}
	t.rows = append(t.rows, row)
}

func (t *table) row(cells ...any) {
	row := make([]cell, len(cells))
	for i, value := range cells {
		if c, ok := value.(cell); ok {
			row[i] = c
			continue
		}
		row[i] = cell{text: fmt.Sprint(value)}
	}
	t.rows = append(t.rows, row)
}

// print prints the table. The width of a column does not count the codes of colours.
func (t *table) print(s *session) {
	var widths []int
	for _, row := range t.rows {
		for i, c := range row {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], utf8.RuneCountInString(c.text))
		}
	}
	for _, row := range t.rows {
		var line strings.Builder
		for i, c := range row {
			line.WriteString(s.paint(c.style, c.text))
			if i < len(row)-1 {
				line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c.text)+2))
			}
		}
		s.printf("%s\n", strings.TrimRight(line.String(), " "))
	}
}

// orDash returns text, or "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
