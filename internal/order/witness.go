package order

// witness is a daemon that vouches for the time of a stream.
type witness struct {
	Ahead   int64 `cbor:"1,keyasint"` // its clock less the stream's time, in milliseconds
	Reached int64 `cbor:"2,keyasint"` // stream time that it vouches for, Unix milliseconds
}

// read takes in another reading of the daemon's clock. A clock that was stepped
// back vouches for nothing until it has caught up.
func (w witness) read(millis int64) witness {
	reached := millis - w.Ahead
	if excess := reached - w.Reached - creditLimit.Milliseconds(); excess > 0 {
		w.Ahead += excess
		reached -= excess
	}
	w.Reached = max(w.Reached, reached)
	return w
}

// latest returns the highest reading of the daemon's clock.
func (w witness) latest() int64 {
	return w.Reached + w.Ahead
}
