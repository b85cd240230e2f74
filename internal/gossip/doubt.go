package gossip

// Doubt names a group that is suspected of having failed because it has stopped responding.
type Doubt struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Fault string `cbor:"3,keyasint,omitempty"` // the failed member, as reported by the group's head
	Early bool   `cbor:"4,keyasint,omitempty"` // the group may only be busy: receivers probe its members and take no other action
}
