package catalog

// Team is the owner of an API key.
type Team struct {
	Name        string
	Priority    int
	HasPriority bool // Priority overrides the route's priority
	// AllowedRegions are the regions in which the team's requests may be handled; empty: all.
	AllowedRegions []string
}
