package bench

import (
	"encoding/csv"
	"io"
	"strconv"
)

// WriteCSV writes the result table with one line for each quantity.
func (r *Report) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	header := []string{"experiment", "seed", "quantity", "unit"}
	for _, measurement := range r.Measurements {
		header = append(header, measurement.System)
	}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, row := range r.rows() {
		line := append([]string{r.Experiment, strconv.FormatUint(r.Seed, 10), row.quantity, row.unit}, row.values...)
		if err := out.Write(line); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// WriteCSV writes the points of a chart with one line for each point.
func (c *Chart) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"line", c.XLabel, c.YLabel}); err != nil {
		return err
	}
	for _, line := range c.Lines {
		for _, point := range line.Points {
			if err := out.Write([]string{line.Name, format(point.X), format(point.Y)}); err != nil {
				return err
			}
		}
	}
	out.Flush()
	return out.Error()
}
