package main

type orderShowCommand struct {
	global *globalOptions
	orderOptions
	Args orderArgs `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *orderShowCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Get(c.Args.team(), c.Args.Service, c.Args.Key)
	if err != nil {
		return err
	}
	c.global.print(status, orderLines(status)...)
	return nil
}
