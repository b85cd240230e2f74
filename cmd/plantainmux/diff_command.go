package main

import (
	"context"
	"fmt"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/infra"
)

type diffCommand struct {
	global *globalOptions
	logOptions
	From string   `long:"from" description:"file or directory to compare with, in place of the version in force"`
	Args pathArgs `positional-args:"true" required:"true"`
}

// diffResult is the JSON output of diff.
type diffResult struct {
	InForce infra.Offset    `json:"in_force,omitempty"` // version that the files are compared with; 0 with --from
	Changes []config.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	to, _, err := c.Args.collect()
	if err != nil {
		return err
	}
	from, err := c.compared()
	if err != nil {
		return err
	}
	result := diffResult{InForce: from.Version, Changes: config.Diff(from.Configuration, to)}
	var lines []string
	if c.From == "" {
		lines = append(lines, fmt.Sprintf("version %d is in force", from.Version))
	}
	for _, change := range result.Changes {
		lines = append(lines, change.String())
	}
	c.global.print(result, lines...)
	if len(result.Changes) > 0 {
		return &configsDifferError{}
	}
	return nil
}

// compared returns the configuration to compare with: that of --from, or the
// version in force.
func (c *diffCommand) compared() (config.Versioned, error) {
	if c.From != "" {
		configuration, _, err := pathArgs{Paths: []string{c.From}}.collect()
		return config.Versioned{Configuration: configuration}, err
	}
	var inForce config.Versioned
	err := c.withPublisher(func(ctx context.Context, publisher *config.Publisher) (err error) {
		inForce, err = publisher.InForce(ctx)
		return err
	})
	return inForce, err
}
