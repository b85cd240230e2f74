package peer

// Scope is the set of daemons that soft state is sent to.
type Scope int

// Scopes of a publication.
const (
	ScopeDataCentre Scope = iota // daemons of the local data centre
	ScopeFleet                   // daemons of all data centres, through relays
)
