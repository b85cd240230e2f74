package main

import (
	"os"
	"time"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

type engineCommand struct {
	listenOptions
	VM            string        `long:"vm" required:"true" description:"name of the VM"`
	IgnoreFencing bool          `long:"ignore-fencing" description:"obey orders with an old fencing number"`
	WeightStore   string        `long:"weight-store" description:"base URL of the weight store"`
	TokenDelay    time.Duration `long:"token-delay" default:"2ms" description:"time between two tokens"`
	Tokens        int           `long:"tokens" default:"8" description:"tokens of an answer that asks for no number"`
	ReportLag     time.Duration `long:"report-lag" default:"200ms" description:"age of the load that reports give"`
	CrashOn       string        `long:"crash-on" description:"crash on a request that contains this text"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	engine := fakes.NewEngine(fakes.EngineOptions{
		VM:            fleet.VMID(c.VM),
		ChecksFencing: !c.IgnoreFencing,
		WeightStore:   c.WeightStore,
		TokenDelay:    c.TokenDelay,
		Tokens:        c.Tokens,
		ReportLag:     c.ReportLag,
		CrashOn:       c.CrashOn,
		OnCrash:       func() { os.Exit(exitFailure) },
	})
	return c.serve(engine.Handler())
}
