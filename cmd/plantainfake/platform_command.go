package main

import "github.com/plantainmux/plantainmux/internal/fakes"

type platformCommand struct {
	listenOptions
	DataCentres []string `long:"data-centre" required:"true" description:"a data centre; repeated for each"`
	Engines     int      `long:"engines" default:"5" description:"engines in each data centre"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	platform, err := fakes.StartWirePlatform(c.DataCentres, c.Engines)
	if err != nil {
		return err
	}
	return c.serve(platform)
}
