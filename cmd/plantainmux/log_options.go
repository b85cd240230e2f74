package main

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// logOptions are the options of every command that uses the log service.
type logOptions struct {
	Log     string `long:"log" env:"PLANTAINMUX_LOG" description:"base URL of the log service"`
	Timeout int    `long:"timeout" default:"15" description:"longest wait for the log, in seconds"`
}

// withPublisher starts a publisher on the log and calls f with it. Both end after
// the timeout.
func (o logOptions) withPublisher(f func(ctx context.Context, publisher *config.Publisher) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(o.Timeout)*time.Second)
	defer cancel()
	publisher := config.NewPublisher(infra.NewHTTPLog(o.Log), uuid.NewString())
	go publisher.Run(ctx)
	return f(ctx, publisher)
}
