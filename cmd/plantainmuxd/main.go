// Command plantainmuxd is the daemon of an entry VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

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
	Settings string `long:"settings" short:"s" required:"true" description:"YAML file with the settings of this daemon"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	logger := logging.New(os.Stderr)
	loaded, err := settings.Load(opts.Settings)
	if err != nil {
		logger.Error("settings refused", "error", err)
		os.Exit(exitSettings)
	}
	d, err := daemon.New(loaded, daemon.NewAdapters(loaded), logger)
	if err != nil {
		logger.Error("daemon not started", "error", err)
		os.Exit(exitListen)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d.Run(ctx)
}
