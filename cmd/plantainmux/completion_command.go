package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// completionScript is the bash script that completes the tool's command line; the
// candidates come from the tool itself.
const completionScript = `_plantainmux() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _plantainmux plantainmux`

type completionCommand struct{}

// Execute implements flags.Commander.
func (*completionCommand) Execute([]string) error {
	fmt.Println(completionScript)
	return nil
}

type manCommand struct {
	parser *flags.Parser
}

// Execute implements flags.Commander.
func (c *manCommand) Execute([]string) error {
	c.parser.WriteManPage(os.Stdout)
	return nil
}
