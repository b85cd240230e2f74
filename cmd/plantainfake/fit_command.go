package main

import (
	"os"

	"github.com/plantainmux/plantainmux/internal/capacity"
)

// fitCommand reads the output lines of measure from standard input, fits a line to
// each cost and prints the slopes as a table.
type fitCommand struct{}

// Execute implements flags.Commander.
func (c *fitCommand) Execute([]string) error {
	series, err := capacity.ReadSeries(os.Stdin)
	if err != nil {
		return err
	}
	return capacity.WriteTable(os.Stdout, series)
}
