package main

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/capacity"
)

// measureCommand scrapes the metrics of daemons at the start and end of a window
// and prints one line per cost, averaged over the daemons.
type measureCommand struct {
	Admins []string      `long:"admin" required:"true" description:"admin address of a daemon; repeat for each"`
	Window time.Duration `long:"window" default:"20s" description:"length of the measurement"`
	By     string        `long:"by" required:"true" description:"what varies from run to run"`
	Size   float64       `long:"size" required:"true" description:"its size in this run"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	before, err := capacity.ScrapeAll(c.Admins)
	if err != nil {
		return err
	}
	time.Sleep(c.Window)
	after, err := capacity.ScrapeAll(c.Admins)
	if err != nil {
		return err
	}
	for _, cost := range capacity.Costs(before, after, c.Window) {
		fmt.Printf("%s %g %s %g\n", c.By, c.Size, cost.Name, cost.Value)
	}
	return nil
}
