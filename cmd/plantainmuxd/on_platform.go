package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/plantainmux/plantainmux/internal/gateway"
	"github.com/plantainmux/plantainmux/internal/logging"
	"github.com/plantainmux/plantainmux/platform"
)

const (
	memoryShare      = 0.7 // of the process's limit, from which on the collector works harder
	collectorPercent = 300 // heap growth between two collections: the heap is small against the limit
	bytesPerMB       = 1 << 20
)

// runOnPlatform runs the daemon on a platform that has a store of its own.
func runOnPlatform(ctx context.Context, path string) int {
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	logger := logging.New(out)
	loaded, err := gateway.Load(path)
	if err != nil {
		logger.Error("settings refused", "error", err)
		return exitSettings
	}
	boundMemory(loaded)
	g, err := gateway.New(loaded, platform.NewAdapters(loaded.Store), logger)
	if err != nil {
		logger.Error("daemon not started", "error", err)
		return exitListen
	}
	go reloads(ctx, path, logger)
	if err := g.Run(ctx); err != nil {
		logger.Error("daemon not started", "error", err)
		return exitListen
	}
	return 0
}

func boundMemory(s gateway.Settings) {
	debug.SetGCPercent(collectorPercent)
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * bytesPerMB))
	}
}

// reloads checks the settings file whenever it is said to have changed. What it
// holds is fixed for the life of a process, but for the limits of memory.
func reloads(ctx context.Context, path string, logger *slog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		loaded, err := gateway.Load(path)
		if err != nil {
			logger.Error("settings refused, the old ones stay in force", "error", err)
			continue
		}
		boundMemory(loaded)
		logger.Info("settings reloaded")
	}
}
