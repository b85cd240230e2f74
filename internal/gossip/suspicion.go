package gossip

// Suspicion names a group that is suspected of having failed because it has stopped responding.
type Suspicion struct {
	Group         string `cbor:"1,keyasint"`
	Epoch         uint64 `cbor:"2,keyasint"`
	MissingMember string `cbor:"3,keyasint,omitempty"` // the failed member, as reported by the group's head
	Tentative     bool   `cbor:"4,keyasint,omitempty"` // the group may only be busy: receivers probe its members and take no other action
}
