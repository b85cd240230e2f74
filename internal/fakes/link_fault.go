package fakes

// LinkFault is a fault of the link between a daemon and all endpoints.
type LinkFault int

// Faults of a link.
const (
	LinkSound      LinkFault = iota
	LinkHangs                // connections hang, new ones are never established
	LinkResets               // connections are reset, new ones too
	LinkRefusesNew           // open connections live on, new ones are refused
	LinkSilent               // connections are accepted; nothing passes on them, nor on open ones
)
