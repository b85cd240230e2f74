package main

import (
	"context"
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/invariant"
)

// checkCommand checks the invariants of groups against the events that the fakes
// of a data centre recorded. It fails with a violationsError.
type checkCommand struct {
	Log        string           `long:"log" required:"true" description:"base URL of the log"`
	DataCentre fleet.DataCentre `long:"data-centre" required:"true" description:"data centre of the engines"`
	Engines    []string         `long:"engine" required:"true" description:"address of an engine; repeat for each"`
	Detection  time.Duration    `long:"detection" default:"3s" description:"how long a missing member may stay unnoticed"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	sources := invariant.Sources{Log: infra.NewHTTPLog(c.Log), DataCentre: c.DataCentre, Engines: c.Engines}
	check, err := sources.Gather(context.Background())
	if err != nil {
		return err
	}
	check.DetectionBound = c.Detection
	violations := check.Run()
	for _, violation := range violations {
		fmt.Println(violation)
	}
	if len(violations) > 0 {
		return &violationsError{count: len(violations)}
	}
	starts := 0
	for _, event := range check.Events {
		if event.Kind == fakes.EventStart {
			starts++
		}
	}
	fmt.Printf("%d requests on %d groups: no violation\n", starts, check.Ledger.GrantedGroups())
	return nil
}
