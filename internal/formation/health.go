package formation

// Health holds the results of probes and orders that are not part of the
// endpoints' registry entries. It is immutable.
type Health struct {
	Dead          map[string]int64   // start time, by ID, of the incarnation that answered no probe although other members of its group did
	Absent        map[string]Absence // members without a registry entry, by ID
	Slow          map[string]float64 // slowdown factor, by ID, of endpoints that report being slow
	Preloads      map[string]Preload // models that spare endpoints were ordered to load, by endpoint ID
	Released      map[string]bool    // former heads, by FormerKey, that confirmed leaving or can no longer serve
	DrainingSince map[string]int64   // time in Unix milliseconds at which a former head, by FormerKey, began to drain
}
