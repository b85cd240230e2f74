package main

import (
	"log/slog"
	"os"
)

// reloadOn calls load for each signal until the process ends. A file that cannot be loaded changes
// nothing.
func reloadOn(signals <-chan os.Signal, load func() error, logger *slog.Logger) {
	for range signals {
		if err := load(); err != nil {
			logger.Error("settings invalid, keeping the previous settings", "error", err)
			continue
		}
		logger.Info("settings reloaded")
	}
}
