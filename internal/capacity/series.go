package capacity

import (
	"bufio"
	"fmt"
	"io"
	"text/tabwriter"
)

// Series is one cost measured at several sizes.
type Series struct {
	By     string // the size that varies
	Cost   string
	Points []Point
}

// ReadSeries reads lines of four words, "by size cost value". It returns the series
// in the order of their first appearance, and fails with LineError on an invalid
// line.
func ReadSeries(r io.Reader) ([]*Series, error) {
	var all []*Series
	index := map[string]*Series{}
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		var by, cost string
		var point Point
		if _, err := fmt.Sscanf(scanner.Text(), "%s %g %s %g", &by, &point.Size, &cost, &point.Cost); err != nil {
			return nil, &LineError{Line: line, Err: err}
		}
		key := by + " " + cost
		series, ok := index[key]
		if !ok {
			series = &Series{By: by, Cost: cost}
			index[key] = series
			all = append(all, series)
		}
		series.Points = append(series.Points, point)
	}
	return all, scanner.Err()
}

// WriteTable writes a table with the fitted line of each series.
func WriteTable(w io.Writer, all []*Series) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "by\tcost\tbase\tslope\tresidual\tpoints")
	for _, series := range all {
		line, err := Fit(series.Points)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.4g\t%.4g\t%.1f%%\t%s\n",
			series.By, series.Cost, line.Base, line.Slope, percent*line.Residual, formatPoints(series.Points))
	}
	return table.Flush()
}

func formatPoints(points []Point) string {
	text := ""
	for _, p := range points {
		text += fmt.Sprintf("%g:%.4g ", p.Size, p.Cost)
	}
	return text
}

// LineError reports that a line of measurements cannot be parsed.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string {
	return fmt.Sprintf("cannot parse line %d: %v", e.Line, e.Err)
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }
