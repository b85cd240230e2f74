package gossip

// Doubt is a group that has fallen silent.
type Doubt struct {
	Group string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	Fault string `cbor:"3,keyasint,omitempty"` // the member that the head named
	Early bool   `cbor:"4,keyasint,omitempty"` // it may only be busy: its members are to be asked, no more
}
