package main

import (
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

type collectCommand struct {
	global *globalOptions
	Out    string   `long:"out" description:"file to write instead of standard output"`
	Args   pathArgs `positional-args:"true" required:"true"`
}

// pathArgs are the files and directories of a configuration.
type pathArgs struct {
	Paths []string `positional-arg-name:"PATH" required:"1"`
}

// collect finds, reads and validates the configuration files. It returns the
// merged configuration and the files that were read.
func (a pathArgs) collect() (config.Configuration, []string, error) {
	files, err := config.FindFiles(a.Paths)
	if err != nil {
		return config.Configuration{}, nil, err
	}
	merged, err := config.Collect(files)
	return merged, files, err
}

// Execute implements flags.Commander.
func (c *collectCommand) Execute([]string) error {
	merged, files, err := c.Args.collect()
	if err != nil {
		return err
	}
	text, err := yaml.Marshal(merged)
	if err != nil {
		return err
	}
	if c.Out == "" {
		c.global.print(merged, string(text))
		return nil
	}
	if err := os.WriteFile(c.Out, text, 0o644); err != nil {
		return &strictyaml.FileError{File: c.Out, Err: err}
	}
	c.global.print(files, fmt.Sprintf("%d files collected into %s", len(files), c.Out))
	return nil
}
