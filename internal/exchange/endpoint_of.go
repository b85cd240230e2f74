package exchange

import (
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/placement"
)

// EndpointOf returns a target as the other side of an exchange.
func EndpointOf(target *placement.Target) outbound.Endpoint {
	return outbound.Endpoint{Key: target.Key, ID: target.ID, Incarnation: target.Incarnation, Address: target.Address}
}
