package main

import (
	"context"
	"fmt"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/infra"
)

type publishCommand struct {
	global *globalOptions
	logOptions
	Base uint64   `long:"base" description:"version that the change was made from, as diff prints it; 0 for the first"`
	Args pathArgs `positional-args:"true" required:"true"`
}

// publishResult is the JSON output of publish.
type publishResult struct {
	Version infra.Offset `json:"version"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	configuration, _, err := c.Args.collect()
	if err != nil {
		return err
	}
	return c.withPublisher(func(ctx context.Context, publisher *config.Publisher) error {
		inForce, err := publisher.Publish(ctx, infra.Offset(c.Base), configuration)
		if err != nil {
			return err
		}
		c.global.print(publishResult{Version: inForce.Version}, fmt.Sprintf("version %d is in force", inForce.Version))
		return nil
	})
}
