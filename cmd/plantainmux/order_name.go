package main

import "github.com/plantainmux/plantainmux/internal/fleet"

// orderName names one order on the command line.
type orderName struct {
	Team    string `positional-arg-name:"TEAM"`
	Service string `positional-arg-name:"SERVICE"`
	Key     string `positional-arg-name:"KEY" description:"the caller's idempotency key"`
}

func (n orderName) team() fleet.TeamName { return fleet.TeamName(n.Team) }
