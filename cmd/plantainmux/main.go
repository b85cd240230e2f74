// Command plantainmux is the command-line tool for operators: it publishes the
// configuration, and shows the status of daemons and orders.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	global := &globalOptions{}
	parser := newParser(global)
	if _, err := parser.Parse(); err != nil {
		os.Exit(report(global, err))
	}
}

func newParser(global *globalOptions) *flags.Parser {
	parser := flags.NewNamedParser("plantainmux", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operators' tool of plantainmux"
	parser.LongDescription = longDescription
	mustAdd(parser.AddGroup("Global options", "", global))
	addCommand(parser, "collect", "put files together into one configuration", &collectCommand{global: global})
	addCommand(parser, "validate", "check files", &validateCommand{global: global})
	addCommand(parser, "diff", "compare configurations", &diffCommand{global: global})
	addCommand(parser, "publish", "put a configuration in force", &publishCommand{global: global})
	addCommand(parser, "status", "show what daemons say of themselves", &statusCommand{global: global})
	addOrderCommands(parser, global)
	addCommand(parser, "evidence", "report whether the conditions of operation held", &evidenceCommand{global: global})
	addCommand(parser, "story", "tell from logs what became of a request", &storyCommand{global: global})
	addCommand(parser, "reference", "list the fields of configuration and settings", &referenceCommand{global: global})
	addCommand(parser, "hash-key", "hash a team key for the configuration", &hashKeyCommand{global: global})
	addCommand(parser, "completion", "print the shell completion for bash", &completionCommand{})
	addCommand(parser, "man", "print the manual page", &manCommand{parser: parser})
	return parser
}

func addCommand(parser *flags.Parser, name, description string, command flags.Commander) {
	mustAdd(parser.AddCommand(name, description, longHelp[name], command))
}

// mustAdd panics if the parser rejects a command: its struct tags are invalid.
func mustAdd[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}
