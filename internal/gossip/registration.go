package gossip

// Registration is the store record in which a daemon publishes its address.
type Registration struct {
	Address     string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
	// CPUShare is the share of a core that the daemon may use, 0 if it is not known.
	CPUShare float64 `cbor:"4,keyasint,omitempty"`
}
