package main

import "github.com/plantainmux/plantainmux/internal/fakes"

type vmsCommand struct {
	listenOptions
}

// Execute implements flags.Commander. VMs are added with PUT /vms.
func (c *vmsCommand) Execute([]string) error {
	return c.serve(fakes.NewVMList().Handler())
}
