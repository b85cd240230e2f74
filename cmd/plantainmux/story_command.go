package main

import (
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/plantainmux/plantainmux/internal/story"
)

type storyCommand struct {
	global  *globalOptions
	Request string `long:"request" short:"r" required:"true" description:"ID of the request"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *storyCommand) Execute([]string) error {
	var lines []story.Line
	for _, path := range c.Args.Files {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	selected, err := story.RequestLines(lines, c.Request)
	if err != nil {
		return err
	}
	for _, line := range selected {
		c.global.print(line, line.String())
	}
	return nil
}

// readLog parses the log file of one daemon.
func readLog(path string) ([]story.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	return story.Read(file)
}
