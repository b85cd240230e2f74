package formation

// Health is what probes and requests showed of endpoints beside their entries.
// It is immutable.
type Health struct {
	Dead     map[string]int64   // Born of endpoints that answered no probe though others did
	Absent   map[string]Absence // members whose entries are missing
	Slow     map[string]float64 // factor on the times of endpoints that say that they are slow
	Promised map[string]Promise // models that spare endpoints were told to load
	LetGo    map[string]bool    // keys of former heads that confirmed that they left, or cannot serve
	Closing  map[string]int64   // Unix milliseconds since which a former head finishes its requests
}
