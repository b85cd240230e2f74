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

// difference is the JSON form of a comparison.
type difference struct {
	InForce infra.Offset    `json:"in_force,omitempty"` // version that was compared with
	Changes []config.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	to, _, err := c.Args.collect()
	if err != nil {
		return err
	}
	from, err := c.base()
	if err != nil {
		return err
	}
	found := difference{InForce: from.Version, Changes: config.Diff(from.Configuration, to)}
	var lines []string
	if c.From == "" {
		lines = append(lines, fmt.Sprintf("version %d is in force", from.Version))
	}
	for _, change := range found.Changes {
		lines = append(lines, change.String())
	}
	c.global.print(found, lines...)
	if len(found.Changes) > 0 {
		return &differsError{}
	}
	return nil
}

func (c *diffCommand) base() (config.Versioned, error) {
	if c.From != "" {
		whole, _, err := pathArgs{Paths: []string{c.From}}.collect()
		return config.Versioned{Configuration: whole}, err
	}
	var inForce config.Versioned
	err := c.withPublisher(func(ctx context.Context, publisher *config.Publisher) (err error) {
		inForce, err = publisher.InForce(ctx)
		return err
	})
	return inForce, err
}
