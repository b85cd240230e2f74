package main

import (
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/plantainmux/plantainmux/internal/fakes"
)

const acceleratorsPerVM = 8

// listenOptions are the flags of every fake.
type listenOptions struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"IP number and port to listen on"`
}

// serve runs a fake until SIGTERM or SIGINT.
func (o listenOptions) serve(handler http.Handler) error {
	server, err := fakes.StartServer(o.Listen, handler)
	if err != nil {
		return err
	}
	slog.Info("fake started", "address", server.Address())
	waitForStop()
	server.Kill()
	return nil
}

// waitForStop blocks until SIGTERM or SIGINT.
func waitForStop() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}
