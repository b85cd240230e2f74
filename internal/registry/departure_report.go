package registry

// DepartureReport tells a daemon that has just started of an endpoint that left before.
type DepartureReport struct {
	Endpoint    string `cbor:"1,keyasint"` // ID
	Incarnation int64  `cbor:"2,keyasint"` // start time, Unix milliseconds
	Sequence    int64  `cbor:"3,keyasint"` // of its latest entry
}
