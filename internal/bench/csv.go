package bench

import (
	"encoding/csv"
	"io"
	"strconv"
)

// WriteCSV writes the result table, one record per quantity.
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

// WriteCSV writes the points of the chart, one record per point.
func (c *Chart) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.Write([]string{"line", c.XLabel, c.YLabel}); err != nil {
		return err
	}
	for _, line := range c.Lines {
		for _, point := range line.Points {
			if err := out.Write([]string{line.Name, formatNumber(point.X), formatNumber(point.Y)}); err != nil {
				return err
			}
		}
	}
	out.Flush()
	return out.Error()
}
