package main

import (
	"github.com/plantainmux/plantainmux/internal/adminapi"
)

type statusCommand struct {
	global *globalOptions
	accessOptions
	Daemons []string `long:"daemon" required:"true" description:"admin address of a daemon, IP number and port; may be repeated"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	access, err := c.access()
	if err != nil {
		return err
	}
	client, err := adminapi.NewClient(access)
	if err != nil {
		return err
	}
	answers := client.StatusOfAll(c.Daemons)
	report := adminapi.NewReport(answers)
	c.global.print(answers, report.Lines()...)
	if unhealthy := report.UnhealthyDaemons(); unhealthy > 0 {
		return &daemonHealthError{Count: unhealthy}
	}
	return nil
}
