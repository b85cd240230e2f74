// Command plantainmux is the operators' tool.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the tool.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	parser := flags.NewNamedParser("plantainmux", flags.Default)
	addCommand(parser, "publish", "put a configuration in force", &publishCommand{})
	addCommand(parser, "status", "show what daemons say of themselves", &statusCommand{})
	addCommand(parser, "evidence", "report whether the conditions of operation held", &evidenceCommand{})
	addCommand(parser, "hash-key", "hash a team key for the configuration", &hashKeyCommand{})
	if _, err := parser.Parse(); err != nil && !flags.WroteHelp(err) {
		os.Exit(exitFailure)
	}
}

func addCommand(parser *flags.Parser, name, description string, command flags.Commander) {
	if _, err := parser.AddCommand(name, description, "", command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
}
