package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// enginesCommand runs the engines of many VMs in one process, to measure what it
// costs daemons to monitor them.
type enginesCommand struct {
	DataCentre fleet.DataCentre `long:"data-centre" required:"true" description:"data centre of the VMs"`
	Domains    int              `long:"domains" default:"4" description:"fabric domains"`
	PerDomain  int              `long:"per-domain" default:"8" description:"VMs of one fabric domain"`
	TokenDelay time.Duration    `long:"token-delay" default:"2ms" description:"time between two tokens"`
}

// Execute implements flags.Commander. It prints the VMs as JSON lines, then the
// line "started", and runs until SIGTERM or SIGINT.
func (c *enginesCommand) Execute([]string) error {
	for domain := range c.Domains {
		if err := c.startDomain(fleet.FabricDomain(fmt.Sprintf("%s-%d", c.DataCentre, domain))); err != nil {
			return err
		}
	}
	fmt.Println("started")
	waitForStop()
	return nil
}

func (c *enginesCommand) startDomain(domain fleet.FabricDomain) error {
	for number := range c.PerDomain {
		id := fleet.VMID(fmt.Sprintf("%s-vm%d", domain, number))
		engine := fakes.NewEngine(fakes.EngineOptions{VM: id, ChecksFencing: true, TokenDelay: c.TokenDelay})
		server, err := fakes.StartServer("127.0.0.1:0", engine.Handler())
		if err != nil {
			return err
		}
		vm := fleet.VM{ID: id, Address: server.Address(), DataCentre: c.DataCentre, FabricDomain: domain, Accelerators: acceleratorsPerVM}
		if err := json.NewEncoder(os.Stdout).Encode(vm); err != nil {
			return err
		}
	}
	return nil
}
