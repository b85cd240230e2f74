package dispatch

// class is a priority and a team.
type class struct {
	priority int
	team     string
}
