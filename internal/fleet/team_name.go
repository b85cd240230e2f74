package fleet

// TeamName is the name of a team, whose callers share a part of the capacity.
type TeamName string
