package service

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// checkPeriod is the time between two health checks of an endpoint.
const checkPeriod = time.Second

// Checker checks the health of endpoints in the background: those of the own
// data centre, and those of the others while the own have none in use.
type Checker struct {
	service    endpoint.Service
	health     *Health
	dataCentre fleet.DataCentre
	pool       pond.Pool
	services   func() map[string]config.Service
}

// NewChecker returns a checker of the services that services returns at each
// round.
func NewChecker(service endpoint.Service, health *Health, dataCentre fleet.DataCentre, pool pond.Pool, services func() map[string]config.Service) *Checker {
	return &Checker{service: service, health: health, dataCentre: dataCentre, pool: pool, services: services}
}

// Run checks until ctx ends.
func (c *Checker) Run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.round(ctx)
		}
	}
}

func (c *Checker) round(ctx context.Context) {
	for _, declared := range c.services() {
		for _, address := range c.targets(declared) {
			_, _ = c.pool.TrySubmit(func() { c.check(ctx, address) })
		}
	}
}

func (c *Checker) targets(declared config.Service) []string {
	own, others := split(declared, c.dataCentre)
	for _, address := range own {
		if c.health.Usable(address) {
			return own
		}
	}
	return append(own, others...)
}

func (c *Checker) check(ctx context.Context, address string) {
	if c.service.Healthy(ctx, address) {
		c.health.Succeeded(address)
		return
	}
	c.health.Failed(address)
}
