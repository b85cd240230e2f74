package main

import "github.com/plantainmux/plantainmux/internal/fakes"

type vmsCommand struct {
	listenOptions
}

// Execute implements flags.Commander. The list starts empty; PUT /vms adds a VM.
func (c *vmsCommand) Execute([]string) error {
	return c.serve(fakes.NewVMList().Handler())
}
