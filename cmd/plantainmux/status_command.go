package main

import (
	"github.com/plantainmux/plantainmux/internal/adminapi"
)

type statusCommand struct {
	global    *globalOptions
	Token     string   `long:"token" required:"true" env:"PLANTAINMUX_ADMIN_TOKEN" description:"admin token of the daemons"`
	Authority string   `long:"authority" description:"PEM file of the authority of the daemons' certificates; plain HTTP without it"`
	Daemons   []string `long:"daemon" required:"true" description:"admin address of a daemon, IP number and port; may be repeated"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	answers := adminapi.NewClient(c.Token, c.Authority).StatusOfAll(c.Daemons)
	var lines []string
	unwell := 0
	for _, answer := range answers {
		lines = append(lines, answer.Lines()...)
		if !answer.Well() {
			unwell++
		}
	}
	c.global.print(answers, lines...)
	if unwell > 0 {
		return &daemonsError{Count: unwell}
	}
	return nil
}
