package service

import (
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// splitByDataCentre returns the addresses of the service's endpoints in the given
// data centre and of those in other data centres.
func splitByDataCentre(declared config.Service, dataCentre fleet.DataCentre) (own, others []string) {
	for _, e := range declared.Endpoints {
		if e.DataCentre == dataCentre {
			own = append(own, e.Address)
			continue
		}
		others = append(others, e.Address)
	}
	return own, others
}

// rotate returns the list rotated by turn elements, for round-robin balancing.
func rotate(addresses []string, turn uint64) []string {
	if len(addresses) == 0 {
		return nil
	}
	start := int(turn % uint64(len(addresses)))
	return append(append([]string(nil), addresses[start:]...), addresses[:start]...)
}

// rankedAddresses returns the addresses of all endpoints, those in the given data
// centre first. Both parts are rotated round-robin.
func rankedAddresses(declared config.Service, dataCentre fleet.DataCentre, turn uint64) []string {
	own, others := splitByDataCentre(declared, dataCentre)
	return append(rotate(own, turn), rotate(others, turn)...)
}
