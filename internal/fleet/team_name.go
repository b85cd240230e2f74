package fleet

// TeamName names a team, the tenant whose callers share a capacity.
type TeamName string
