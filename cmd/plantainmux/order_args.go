package main

import "github.com/plantainmux/plantainmux/internal/fleet"

// orderArgs are the positional arguments that identify one order.
type orderArgs struct {
	Team    string `positional-arg-name:"TEAM"`
	Service string `positional-arg-name:"SERVICE"`
	Key     string `positional-arg-name:"KEY" description:"the caller's idempotency key"`
}

func (n orderArgs) team() fleet.TeamName { return fleet.TeamName(n.Team) }
