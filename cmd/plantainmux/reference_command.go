package main

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

type referenceCommand struct {
	global *globalOptions
	Args   struct {
		Of string `positional-arg-name:"configuration|settings" choice:"configuration" choice:"settings"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *referenceCommand) Execute([]string) error {
	fields := config.Reference()
	if c.Args.Of == "settings" {
		fields = settings.Reference()
	}
	c.global.print(fields, fieldLines(fields)...)
	return nil
}

// fieldLines returns one line of text for each field.
func fieldLines(fields []strictyaml.Field) []string {
	var lines []string
	for _, field := range fields {
		line := fmt.Sprintf("%s: %s (%s)", field.Path, field.Doc, field.Bounds)
		if field.Unit != "" {
			line += ", in " + field.Unit
		}
		if field.Default != "" {
			line += ", default " + field.Default
		}
		lines = append(lines, line)
	}
	return lines
}
