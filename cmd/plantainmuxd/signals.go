package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// handleSignals takes over the signals that would otherwise end the process, until the process
// ends. The context ends with the first SIGTERM or SIGINT; reload receives SIGHUP. None of them is
// ever given back: while the daemon closes it still answers requests.
func handleSignals() (stop context.Context, reload <-chan os.Signal) {
	hangups := make(chan os.Signal, 1) // one is enough: the file is read after it was received
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the reader of standard output may end before the daemon
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM, syscall.SIGINT)
	stop, cancel := context.WithCancel(context.Background())
	go func() {
		<-terminated
		cancel()
	}()
	return stop, hangups
}
