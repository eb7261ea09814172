package bench

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

const (
	notMeasured = "-"
	// significantDigits is the number of significant digits in tables.
	significantDigits = 4
)

// row is one row of a result table: a quantity with its value for each system.
type row struct {
	quantity string
	unit     string
	values   []string
}

// formatNumber formats integers in full and other numbers with significantDigits digits.
func formatNumber(value float64) string {
	if value == float64(int64(value)) {
		return strconv.FormatInt(int64(value), 10)
	}
	return strconv.FormatFloat(value, 'g', significantDigits, 64)
}

// rows returns the rows of the result table.
func (r *Report) rows() []row {
	rows := []row{
		r.row("imbalance, expected, mean", "max/mean", func(m *Measurement) string { return imbalanceQuantile(m.Imbalance, true, 0) }),
		r.row("imbalance, expected, p50", "max/mean", func(m *Measurement) string { return imbalanceQuantile(m.Imbalance, true, 1) }),
		r.row("imbalance, expected, p99", "max/mean", func(m *Measurement) string { return imbalanceQuantile(m.Imbalance, true, 2) }),
		r.row("imbalance, expected, maximum", "max/mean", func(m *Measurement) string { return imbalanceQuantile(m.Imbalance, true, 3) }),
		r.row("imbalance, counted, mean", "max/mean", func(m *Measurement) string { return imbalanceQuantile(m.Imbalance, false, 0) }),
		r.row("imbalance, counted, p50", "max/mean", func(m *Measurement) string { return imbalanceQuantile(m.Imbalance, false, 1) }),
		r.row("imbalance, counted, p99", "max/mean", func(m *Measurement) string { return imbalanceQuantile(m.Imbalance, false, 2) }),
		r.row("imbalance, counted, maximum", "max/mean", func(m *Measurement) string { return imbalanceQuantile(m.Imbalance, false, 3) }),
		r.row("seconds with expected imbalance above the target", "%", percentAboveTarget),
		r.row("keys moved", "% of keys", func(m *Measurement) string { return churnValue(m, 100*m.churn().Moved) }),
		r.row("churn", "x least", churnRatio),
		r.row("moves", "moves", func(m *Measurement) string { return churnValue(m, float64(m.churn().Moves)) }),
		r.row("unavailable per key, mean", "ms", func(m *Measurement) string { return unavailableValue(m, false) }),
		r.row("unavailable, worst key", "ms", func(m *Measurement) string { return unavailableValue(m, true) }),
		r.row("latency, p50", "ms", func(m *Measurement) string { return latencyValue(m, func(l *Latency) float64 { return l.P50 }) }),
		r.row("latency, p99", "ms", func(m *Measurement) string { return latencyValue(m, func(l *Latency) float64 { return l.P99 }) }),
		r.row("latency, p99.9", "ms", func(m *Measurement) string { return latencyValue(m, func(l *Latency) float64 { return l.P999 }) }),
		r.row("execution alone, p99", "ms", func(m *Measurement) string {
			return latencyValue(m, func(l *Latency) float64 { return l.RunTimeP99 })
		}),
		r.row("refused requests", "%", func(m *Measurement) string {
			return latencyValue(m, func(l *Latency) float64 { return 100 * l.Refused })
		}),
		r.row("time of a round", "ms", roundMillis),
	}
	return append(dropUnmeasured(rows), r.figureRows()...)
}

func (r *Report) row(quantity, unit string, value func(*Measurement) string) row {
	result := row{quantity: quantity, unit: unit}
	for _, measurement := range r.Measurements {
		result.values = append(result.values, value(measurement))
	}
	return result
}

// figureRows returns a row for each additional figure, in the order in which the figures first occur.
func (r *Report) figureRows() []row {
	var rows []row
	seen := make(map[string]bool)
	for _, measurement := range r.Measurements {
		for _, figure := range measurement.Figures {
			if seen[figure.Name] {
				continue
			}
			seen[figure.Name] = true
			rows = append(rows, r.row(figure.Name, figure.Unit, func(m *Measurement) string { return m.figure(figure.Name) }))
		}
	}
	return rows
}

func (m *Measurement) figure(name string) string {
	for _, figure := range m.Figures {
		if figure.Name == name {
			return formatNumber(figure.Value)
		}
	}
	return notMeasured
}

// dropUnmeasured removes the rows that have no value for any system.
func dropUnmeasured(rows []row) []row {
	var measured []row
	for _, row := range rows {
		if strings.Trim(strings.Join(row.values, ""), notMeasured) != "" {
			measured = append(measured, row)
		}
	}
	return measured
}

// WriteTable writes the report as text: settings, result table and notes.
func (r *Report) WriteTable(w io.Writer, build Build) error {
	fmt.Fprintf(w, "experiment %s, seed %d, %s\n", r.Experiment, r.Seed, build)
	for _, setting := range r.Settings {
		fmt.Fprintf(w, "  %s: %s\n", setting.Name, setting.Value)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "quantity\tunit")
	for _, measurement := range r.Measurements {
		fmt.Fprintf(table, "\t%s", measurement.System)
	}
	fmt.Fprintln(table)
	for _, row := range r.rows() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", row.quantity, row.unit, strings.Join(row.values, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, note := range r.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
	return nil
}
