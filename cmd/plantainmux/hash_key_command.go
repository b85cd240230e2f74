package main

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/callerapi"
)

type hashKeyCommand struct {
	Args struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *hashKeyCommand) Execute([]string) error {
	fmt.Println(callerapi.HashKey(c.Args.Key))
	return nil
}
