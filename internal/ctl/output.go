package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// style is an ANSI escape sequence for a text style.
type style string

const (
	plain      style = ""
	success    style = "\x1b[32m"
	warning    style = "\x1b[33m"
	failure    style = "\x1b[31m"
	bold       style = "\x1b[1m"
	styleReset       = "\x1b[0m"
)

// colorize applies the style if the output is a terminal and NO_COLOR is not set.
func (s *session) colorize(with style, text string) string {
	if with == plain || !s.program.IsTerminal || s.program.Getenv("NO_COLOR") != "" {
		return text
	}
	return string(with) + text + styleReset
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(s.program.Stdout, format, args...) }

// printJSON prints the document as indented JSON.
func (s *session) printJSON(document any) error {
	encoder := json.NewEncoder(s.program.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(document), "encode the output")
}

// errorDocument is the JSON representation of an error.
type errorDocument struct {
	Error  string                   `json:"error"`
	Faults []config.ValidationError `json:"faults,omitempty"`
}

// printError prints the error to standard error: one line per fault if it holds configuration faults, or a JSON
// document with --json.
func (s *session) printError(err error) {
	var faults config.ValidationErrors
	isFaults := errors.As(err, &faults)
	if s.options.JSON {
		encoder := json.NewEncoder(s.program.Stderr)
		encoder.SetEscapeHTML(false)
		// Encoding fails only if standard error is closed, and then the error cannot be reported anywhere.
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

// tableCell is a cell of a table.
type tableCell struct {
	text  string
	style style
}

// table formats rows in aligned columns.
type table struct {
	rows [][]tableCell
}

func (t *table) header(titles ...string) {
	row := make([]tableCell, len(titles))
	for i, title := range titles {
		row[i] = tableCell{title, bold}
	}
	t.rows = append(t.rows, row)
}

func (t *table) add(cells ...any) {
	row := make([]tableCell, len(cells))
	for i, value := range cells {
		if c, ok := value.(tableCell); ok {
			row[i] = c
			continue
		}
		row[i] = tableCell{text: fmt.Sprint(value)}
	}
	t.rows = append(t.rows, row)
}

// print prints the table. Escape sequences do not count towards the column widths.
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
			line.WriteString(s.colorize(c.style, c.text))
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
