package main

import "fmt"

type validateCommand struct {
	global *globalOptions
	Args   pathArgs `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	_, files, err := c.Args.collect()
	if err != nil {
		return err
	}
	c.global.print(files, fmt.Sprintf("%d files are well", len(files)))
	return nil
}
