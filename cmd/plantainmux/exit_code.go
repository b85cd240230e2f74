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

// Exit codes of the tool; longDescription documents them.
const (
	exitFailure          = 1
	exitUsage            = 2
	exitInvalidConfig    = 3
	exitConflict         = 4
	exitOutcomeUnknown   = 5
	exitLogUnavailable   = 6
	exitConfigsDiffer    = 7
	exitDaemonsUnhealthy = 8
	exitOrderNotFound    = 9
	exitOrderNotUnclear  = 10
)

// report prints an error, unless the command's output shows it already, and
// returns the exit code.
func report(global *globalOptions, err error) int {
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return 0
	}
	code := exitCode(err)
	if _, reported := errors.AsType[reportedError](err); reported {
		return code
	}
	if global.Output == "json" {
		global.print(newFailure(code, err))
		return code
	}
	fmt.Fprintln(os.Stderr, err)
	return code
}

// reportedError is an error that the command's own output already shows.
type reportedError interface {
	error
	Reported()
}

func exitCode(err error) int {
	switch {
	case is[*flags.Error](err) || is[*verdictFlagsError](err) || is[*credentialFlagsError](err) || is[*adminapi.CredentialError](err):
		return exitUsage
	case is[strictyaml.Problems](err) || is[*strictyaml.FileError](err) || is[*config.NoFilesError](err):
		return exitInvalidConfig
	case is[*config.StaleBaseError](err):
		return exitConflict
	case is[*config.OutcomeUnknownError](err) || is[*settleUnknownError](err):
		return exitOutcomeUnknown
	case is[*config.LogUnavailableError](err):
		return exitLogUnavailable
	case is[*configsDifferError](err):
		return exitConfigsDiffer
	case is[*daemonHealthError](err):
		return exitDaemonsUnhealthy
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
		return exitOrderNotFound
	case http.StatusConflict:
		return exitOrderNotUnclear
	case http.StatusServiceUnavailable:
		return exitLogUnavailable
	case 0:
		return exitDaemonsUnhealthy
	default:
		return exitFailure
	}
}

func is[T error](err error) bool {
	_, ok := errors.AsType[T](err)
	return ok
}
