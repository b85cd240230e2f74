package trace

// EventKind is what happens to a VM.
type EventKind int

// Kinds of events.
const (
	Pause   EventKind = iota // it answers nothing, and keeps its state
	Resume                   // it goes on as it was
	Kill                     // it is gone
	Boot                     // it starts anew, in no group
	Leaving                  // the platform lists it as leaving
)
