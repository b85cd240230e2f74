package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// Exit codes of the tool.
const (
	exitFailure = 1
	exitUsage   = 2
	exitRefused = 3
	exitLost    = 4
	exitUnknown = 5
	exitLogAway = 6
	exitDiffers = 7
	exitDaemons = 8
)

// report prints a failure and returns the exit code.
func report(global *globalOptions, err error) int {
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return 0
	}
	code := exitCode(err)
	if _, silent := errors.AsType[silentError](err); silent {
		return code
	}
	if global.Output == "json" {
		global.print(newFailure(code, err))
		return code
	}
	fmt.Fprintln(os.Stderr, err)
	return code
}

// silentError is a failure that the command's own output has told.
type silentError interface {
	error
	Silent()
}

func exitCode(err error) int {
	switch {
	case is[*flags.Error](err):
		return exitUsage
	case is[strictyaml.Problems](err) || is[*strictyaml.FileError](err) || is[*config.NoFilesError](err):
		return exitRefused
	case is[*config.LostRaceError](err):
		return exitLost
	case is[*config.OutcomeUnknownError](err):
		return exitUnknown
	case is[*config.LogAwayError](err):
		return exitLogAway
	case is[*differsError](err):
		return exitDiffers
	case is[*daemonsError](err):
		return exitDaemons
	default:
		return exitFailure
	}
}

func is[T error](err error) bool {
	_, ok := errors.AsType[T](err)
	return ok
}
