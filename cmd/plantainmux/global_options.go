package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// globalOptions are the options of every command.
type globalOptions struct {
	Output string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the output"`
}

// print writes a result as JSON, or as the lines of text.
func (g *globalOptions) print(result any, lines ...string) {
	if g.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(result)
		return
	}
	for _, line := range lines {
		fmt.Println(line)
	}
}
