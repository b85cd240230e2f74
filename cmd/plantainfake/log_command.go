package main

import "github.com/plantainmux/plantainmux/internal/fakes"

type logCommand struct {
	listenOptions
	AppendRate int `long:"append-rate" default:"300" description:"appends a second"`
}

// Execute implements flags.Commander.
func (c *logCommand) Execute([]string) error {
	return c.serve(fakes.NewLog(c.AppendRate).Handler())
}
