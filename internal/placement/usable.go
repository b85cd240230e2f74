package placement

// Usable returns the targets that may take a request and have no known problem. Whether they have
// capacity is left to the caller.
func Usable(targets []*Target, requirements Requirements) []*Target {
	return filter(InAllowedRegions(targets, requirements), requirements).healthy
}
