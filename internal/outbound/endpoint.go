package outbound

// Endpoint is the other side of an exchange.
type Endpoint struct {
	Key         string `cbor:"1,keyasint"` // identifies it among daemons
	ID          string `cbor:"2,keyasint,omitempty"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"` // start time, Unix milliseconds; 0 if not known
	Address     string `cbor:"4,keyasint"`           // IP and port
}
