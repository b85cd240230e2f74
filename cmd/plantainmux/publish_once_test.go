package main

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/config"
)

// publishOnce publishes a first configuration.
func publishOnce(url string, whole config.Configuration) (uint64, error) {
	var version uint64
	err := logOptions{Log: url, Timeout: 15}.withPublisher(func(ctx context.Context, publisher *config.Publisher) error {
		inForce, err := publisher.Publish(ctx, 0, whole)
		version = uint64(inForce.Version)
		return err
	})
	return version, err
}
