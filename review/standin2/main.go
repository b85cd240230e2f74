//go:build review

// Command standin2 holds the stand-ins of the scripts in review/6 to review/10: the platform's store, model
// engines as one process each, callers, and the check of what the engines recorded.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the checks.
const (
	exitBroken  = 1
	exitNotRun  = 2
	exitFailure = 2
)

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range []struct {
		name, description string
		data              any
	}{
		{"ports", "prints free ports of the loopback address", &portsCommand{}},
		{"store", "the platform's store", &storeCommand{}},
		{"engine", "one model engine", &engineCommand{}},
		{"callers", "callers of streams, or of orders", &callersCommand{}},
		{"head", "prints the ID of the head of an open group of a size", &headCommand{}},
		{"desk", "one engine of a plain service", &deskCommand{}},
		{"gone", "checks the rule DRAIN on what engines recorded", &goneCommand{}},
		{"check", "checks the rule TWO on what engines recorded", &checkCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.description, "", command.data); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}
