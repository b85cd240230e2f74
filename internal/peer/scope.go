package peer

// Scope says how far soft state travels.
type Scope int

// Scopes of a publication.
const (
	ScopeDataCentre Scope = iota // daemons of the own data centre
	ScopeFleet                   // those of the other data centres too, through relays
)
