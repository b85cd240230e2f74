package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/plantainmux/plantainmux/internal/adminapi"
)

type statusCommand struct {
	global *globalOptions
	accessOptions
	Daemons  []string `long:"daemon" description:"admin address of a daemon, IP number and port; may be repeated"`
	Platform []string `long:"platform" description:"address that serves the metrics of a daemon on a platform, IP number and port; may be repeated"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	if (len(c.Daemons) == 0) == (len(c.Platform) == 0) {
		return &flags.Error{Type: flags.ErrRequired, Message: "either --daemon or --platform is needed"}
	}
	if len(c.Platform) > 0 {
		return c.showPlatform()
	}
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

// showPlatform shows the status of daemons on a platform, which needs no credentials, like their
// metrics.
func (c *statusCommand) showPlatform() error {
	answers := askPlatformDaemons(c.Platform)
	table := newStatusTable(answers)
	c.global.print(answers, table.lines()...)
	if len(table.silent) > 0 {
		return &daemonHealthError{Count: len(table.silent)}
	}
	return nil
}
