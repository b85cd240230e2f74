// Command plantainfake runs a fake of a platform service or of an endpoint, for
// tests and for the demo, or one of the checks and measurements.
package main

import (
	"log/slog"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the fakes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	parser := flags.NewNamedParser("plantainfake", flags.Default)
	addCommand(parser, "log", "the log service", &logCommand{})
	addCommand(parser, "vms", "the list of VMs", &vmsCommand{})
	addCommand(parser, "weights", "the weight store", &weightsCommand{})
	addCommand(parser, "engine", "the model engine of one VM", &engineCommand{})
	addCommand(parser, "engines", "the model engines of many VMs", &enginesCommand{})
	addCommand(parser, "check", "check what the stand-ins recorded", &checkCommand{})
	addCommand(parser, "measure", "measure what daemons spend", &measureCommand{})
	addCommand(parser, "fit", "fit slopes to measurements", &fitCommand{})
	addCommand(parser, "service", "a plain service", &serviceCommand{})
	addCommand(parser, "platform", "the users' platform: store, engines and a plain service", &platformCommand{})
	if _, err := parser.Parse(); err != nil && !flags.WroteHelp(err) {
		os.Exit(exitUsage)
	}
}

func addCommand(parser *flags.Parser, name, description string, command flags.Commander) {
	if _, err := parser.AddCommand(name, description, "", command); err != nil {
		slog.Error("command rejected by the flag parser", "name", name, "error", err)
		os.Exit(exitFailure)
	}
}
