package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/plantainmux/plantainmux/internal/gateway"
	"github.com/plantainmux/plantainmux/internal/logging"
	"github.com/plantainmux/plantainmux/platform"
)

const (
	memoryShare      = 0.7 // soft memory limit of the Go runtime, as a share of the process's limit
	collectorPercent = 300 // heap growth in percent between two collections; the heap is small against the limit
	bytesPerMB       = 1 << 20
)

// runOnPlatform runs the daemon on a platform that provides its own store. It
// returns the exit code. A reload changes the memory limit; all other settings need a restart.
func runOnPlatform(ctx context.Context, path string, reload <-chan os.Signal) int {
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	logger := logging.New(out)
	loaded, err := gateway.Load(path)
	if err != nil {
		logger.Error("settings invalid", "error", err)
		return exitSettings
	}
	configureGC(loaded)
	g, err := gateway.New(loaded, platform.NewAdapters(loaded.Store), logger)
	if err != nil {
		logger.Error("daemon failed to start", "error", err)
		return exitListen
	}
	go reloadOn(reload, func() error {
		changed, err := gateway.Load(path)
		if err == nil {
			configureGC(changed)
		}
		return err
	}, logger)
	if err := g.Run(ctx); err != nil {
		logger.Error("daemon failed to start", "error", err)
		return exitListen
	}
	return 0
}

// configureGC sets the garbage collector's heap growth and, if the settings limit
// the memory, the soft memory limit of the Go runtime.
func configureGC(s gateway.Settings) {
	debug.SetGCPercent(collectorPercent)
	limitMemory(s.Limits.MemoryMB)
}

// limitMemory sets the soft memory limit of the Go runtime, if the memory of the process is limited.
func limitMemory(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memoryMB) * bytesPerMB))
	}
}
