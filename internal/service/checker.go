package service

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// checkPeriod is the interval between two health checks of an endpoint.
const checkPeriod = time.Second

// Checker checks the health of endpoints in the background: those in the own data
// centre, and while none of these is usable also those in other data centres.
type Checker struct {
	service    endpoint.Service
	health     *Health
	dataCentre fleet.DataCentre
	pool       pond.Pool
	services   func() map[string]config.Service
}

// NewChecker returns a Checker. It calls services in every round to get the
// services to check.
func NewChecker(service endpoint.Service, health *Health, dataCentre fleet.DataCentre, pool pond.Pool, services func() map[string]config.Service) *Checker {
	return &Checker{service: service, health: health, dataCentre: dataCentre, pool: pool, services: services}
}

// Run checks all services every checkPeriod until ctx ends.
func (c *Checker) Run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.checkAll(ctx)
		}
	}
}

func (c *Checker) checkAll(ctx context.Context) {
	for _, declared := range c.services() {
		for _, address := range c.targets(declared) {
			_, _ = c.pool.TrySubmit(func() { c.check(ctx, address) })
		}
	}
}

func (c *Checker) targets(declared config.Service) []string {
	own, others := splitByDataCentre(declared, c.dataCentre)
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
