// Command plantainmuxd is the daemon that accepts requests on an entry VM and
// routes them to endpoints.
package main

import (
	"context"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/plantainmux/plantainmux/internal/daemon"
	"github.com/plantainmux/plantainmux/internal/logging"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// Exit codes of the daemon.
const (
	exitUsage    = 2
	exitSettings = 3
	exitListen   = 4
)

type options struct {
	Settings string `long:"settings" short:"s" required:"true" env:"PLANTAINMUX_CONFIG" description:"YAML file with the settings of this daemon"`
	Platform bool   `long:"platform" description:"run on a platform that has a store of its own; the settings are those of that platform"`
}

func main() {
	ctx, reload := handleSignals()
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if opts.Platform {
		os.Exit(runOnPlatform(ctx, opts.Settings, reload))
	}
	os.Exit(runStandalone(ctx, opts.Settings, reload))
}

// runStandalone runs the daemon with the project's own interfaces to the log, the
// VM list and the engines. It returns the exit code. A reload only validates the settings file:
// all settings need a restart.
func runStandalone(ctx context.Context, path string, reload <-chan os.Signal) int {
	logger := logging.New(os.Stderr)
	loaded, err := settings.Load(path)
	if err != nil {
		logger.Error("settings invalid", "error", err)
		return exitSettings
	}
	limitMemory(loaded.Limits.MemoryMB)
	d, err := daemon.New(loaded, daemon.NewAdapters(loaded), logger)
	if err != nil {
		logger.Error("daemon failed to start", "error", err)
		return exitListen
	}
	go reloadOn(reload, func() error {
		_, err := settings.Load(path)
		return err
	}, logger)
	d.Run(ctx)
	return 0
}
