package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/plantainmux/plantainmux/internal/adminapi"
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
	exitNoOrder = 9
	exitSettled = 10
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
	case is[*flags.Error](err) || is[*verdictError](err) || is[*accessError](err) || is[*adminapi.CredentialError](err):
		return exitUsage
	case is[strictyaml.Problems](err) || is[*strictyaml.FileError](err) || is[*config.NoFilesError](err):
		return exitRefused
	case is[*config.LostRaceError](err):
		return exitLost
	case is[*config.OutcomeUnknownError](err) || is[*settleUnknownError](err):
		return exitUnknown
	case is[*config.LogAwayError](err):
		return exitLogAway
	case is[*differsError](err):
		return exitDiffers
	case is[*daemonsError](err):
		return exitDaemons
	case is[*adminapi.OrderCallError](err):
		return orderExitCode(err)
	default:
		return exitFailure
	}
}

func orderExitCode(err error) int {
	failed, _ := errors.AsType[*adminapi.OrderCallError](err)
	switch failed.Status {
	case http.StatusNotFound:
		return exitNoOrder
	case http.StatusConflict:
		return exitSettled
	case http.StatusServiceUnavailable:
		return exitLogAway
	case 0:
		return exitDaemons
	default:
		return exitFailure
	}
}

func is[T error](err error) bool {
	_, ok := errors.AsType[T](err)
	return ok
}
