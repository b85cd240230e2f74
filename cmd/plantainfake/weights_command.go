package main

import "github.com/plantainmux/plantainmux/internal/fakes"

type weightsCommand struct {
	listenOptions
	Rate float64 `long:"rate" default:"20" description:"loads a second"`
}

// Execute implements flags.Commander.
func (c *weightsCommand) Execute([]string) error {
	return c.serve(fakes.NewWeightStore(c.Rate).Handler())
}
