package main

import "github.com/plantainmux/plantainmux/internal/order"

type orderListCommand struct {
	global *globalOptions
	orderOptions
	States []string `long:"state" default:"unclear" choice:"claimed" choice:"ran" choice:"not_ran" choice:"unclear" choice:"closed" description:"state of the orders to list; may be repeated"`
	Limit  int      `long:"limit" default:"1000" description:"most orders to list, the oldest first"`
}

// Execute implements flags.Commander.
func (c *orderListCommand) Execute([]string) error {
	var states []order.State
	for _, state := range c.States {
		states = append(states, order.State(state))
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	listed, err := client.List(states, c.Limit)
	if err != nil {
		return err
	}
	var lines []string
	for _, status := range listed {
		lines = append(lines, orderLines(status)[0])
	}
	c.global.print(listed, lines...)
	return nil
}
