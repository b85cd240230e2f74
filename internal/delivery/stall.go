package delivery

// stallLooks is the number of looks in a row that find nothing acknowledged after which a connection is stalled. With 100 ms
// between two looks, a segment that was lost twice has arrived by then: it is sent again a round trip and 200 ms after it was
// sent, and 400 ms later.
const stallLooks = 8

// stall counts the looks at a connection that found bytes under way and none acknowledged since the look before. It goes by looks
// and not by time, in which the process may have stood still.
type stall struct {
	acknowledged uint64
	looks        int
}

// look returns whether a connection is stalled on which so many bytes are under way and have been acknowledged in all.
func (s *stall) look(underWay int, acknowledged uint64) bool {
	switch {
	case underWay == 0:
		s.looks = 0
	case s.looks == 0 || acknowledged != s.acknowledged:
		s.looks = 1
	default:
		s.looks++
	}
	s.acknowledged = acknowledged
	return s.looks >= stallLooks
}
