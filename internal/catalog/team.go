package catalog

// Team is who holds a key.
type Team struct {
	Name        string
	Priority    int
	HasPriority bool // the team's priority goes before the route's
}
