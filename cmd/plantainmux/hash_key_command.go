package main

import (
	"bufio"
	"os"
	"strings"

	"github.com/plantainmux/plantainmux/internal/callerapi"
)

type hashKeyCommand struct {
	global *globalOptions
	Args   struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"true"`
}

// hashResult is the JSON output of hash-key.
type hashResult struct {
	Hash string `json:"hash"`
}

// Execute implements flags.Commander.
func (c *hashKeyCommand) Execute([]string) error {
	key := c.Args.Key
	if key == "" {
		line, err := bufio.NewReader(os.Stdin).ReadString('\n')
		if key = strings.TrimRight(line, "\r\n"); key == "" {
			return err
		}
	}
	hash := callerapi.HashKey(key)
	c.global.print(hashResult{Hash: hash}, hash)
	return nil
}
