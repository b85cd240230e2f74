package gossip

import (
	"slices"
	"time"
)

// Suspicion names a group that is suspected of having failed because it has stopped responding.
type Suspicion struct {
	Group         string `cbor:"1,keyasint"`
	Epoch         uint64 `cbor:"2,keyasint"`
	MissingMember string `cbor:"3,keyasint,omitempty"` // the failed member, as reported by the group's head
	Tentative     bool   `cbor:"4,keyasint,omitempty"` // the group may only be busy: receivers probe its members and take no other action
	AgeMS         int    `cbor:"5,keyasint,omitempty"` // since the daemon saw what it goes by, when the message was sent
}

// aged returns suspicions that were sent age ago.
func aged(suspicions []Suspicion, age time.Duration) []Suspicion {
	older := slices.Clone(suspicions)
	for i := range older {
		older[i].AgeMS += int(age.Milliseconds())
	}
	return older
}
