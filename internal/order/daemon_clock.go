package order

// daemonClock is the clock of one daemon as observed in its records.
type daemonClock struct {
	OffsetMillis int64 `cbor:"1,keyasint"` // the daemon's clock minus stream time
	StreamMillis int64 `cbor:"2,keyasint"` // stream time by this daemon, Unix milliseconds
}

// observe returns the clock after another reading. A reading advances the stream
// time by at most maxAdvancePerRecord. A clock that was stepped back does not
// advance it until it has caught up.
func (d daemonClock) observe(millis int64) daemonClock {
	reached := millis - d.OffsetMillis
	if excess := reached - d.StreamMillis - maxAdvancePerRecord.Milliseconds(); excess > 0 {
		d.OffsetMillis += excess
		reached -= excess
	}
	d.StreamMillis = max(d.StreamMillis, reached)
	return d
}

// lastReading returns the highest reading of the daemon's clock, in Unix
// milliseconds.
func (d daemonClock) lastReading() int64 {
	return d.StreamMillis + d.OffsetMillis
}
