package service

import (
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// split returns the endpoints of the own data centre and the others.
func split(declared config.Service, dataCentre fleet.DataCentre) (own, others []string) {
	for _, e := range declared.Endpoints {
		if e.DataCentre == dataCentre {
			own = append(own, e.Address)
			continue
		}
		others = append(others, e.Address)
	}
	return own, others
}

// rotate starts a list at its turn's element, so that calls spread evenly.
func rotate(addresses []string, turn uint64) []string {
	if len(addresses) == 0 {
		return nil
	}
	start := int(turn % uint64(len(addresses)))
	return append(append([]string(nil), addresses[start:]...), addresses[:start]...)
}

// ranked returns every endpoint: those of the own data centre first, each part
// in turn.
func ranked(declared config.Service, dataCentre fleet.DataCentre, turn uint64) []string {
	own, others := split(declared, dataCentre)
	return append(rotate(own, turn), rotate(others, turn)...)
}
