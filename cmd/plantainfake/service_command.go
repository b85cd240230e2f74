package main

import "github.com/plantainmux/plantainmux/internal/fakes"

type serviceCommand struct {
	listenOptions
	RefusesRepeats bool `long:"refuses-repeats" description:"answer 409 to a key that was run before"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	return c.serve(fakes.NewService(c.RefusesRepeats).Handler())
}
