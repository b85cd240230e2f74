package main

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/config"
)

// publishOnce publishes the first configuration, on base version 0, and returns
// its version.
func publishOnce(url string, configuration config.Configuration) (uint64, error) {
	var version uint64
	err := logOptions{Log: url, Timeout: 15}.withPublisher(func(ctx context.Context, publisher *config.Publisher) error {
		inForce, err := publisher.Publish(ctx, 0, configuration)
		version = uint64(inForce.Version)
		return err
	})
	return version, err
}
