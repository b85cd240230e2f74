package main

import "github.com/jessevdk/go-flags"

// orderCommand is the parent of the order subcommands and has no action itself.
type orderCommand struct{}

func addOrderCommands(parser *flags.Parser, global *globalOptions) {
	const name = "order"
	parent, err := parser.AddCommand(name, "show and settle orders", longHelp[name], &orderCommand{})
	mustAdd(parent, err)
	mustAdd(parent.AddCommand("list", "list orders by state", longHelp[name], &orderListCommand{global: global}))
	mustAdd(parent.AddCommand("show", "show one order", longHelp[name], &orderShowCommand{global: global}))
	mustAdd(parent.AddCommand("settle", "settle an unclear order", longHelp[name], &orderSettleCommand{global: global}))
}
