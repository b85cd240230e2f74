package trace

// EventKind is the kind of an Event.
type EventKind int

// Event kinds.
const (
	Pause   EventKind = iota // stops responding, keeps its state
	Resume                   // responds again with the same state
	Kill                     // stops
	Boot                     // restarts, in no group
	Leaving                  // the platform lists it as leaving
)
