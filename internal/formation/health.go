package formation

// Health holds the results of probes and orders that are not part of the
// endpoints' registry entries. It is immutable.
type Health struct {
	Dead          map[string]int64   // start time of incarnations that do not answer while others of their group do, by ID
	Absent        map[string]Absence // members without a registry entry, by ID
	Slow          map[string]float64 // slowdown factors of endpoints that report being slow, by ID
	Preloads      map[string]Preload // models that spare endpoints were ordered to load, by endpoint ID
	Released      map[string]bool    // former heads that have left their groups, by FormerKey
	Doubtful      map[string]bool    // former heads that could not be told to leave and may serve, by FormerKey
	Ended         map[string]bool    // groups that their heads have left recently, by GroupKey
	Vacated       map[string]bool    // members that have left the group of a doubtful head recently, by VacancyKey
	DrainingSince map[string]int64   // when former heads began to drain, Unix milliseconds, by FormerKey
}
