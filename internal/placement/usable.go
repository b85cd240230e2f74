package placement

import "slices"

// Usable returns the targets that may take a request, have no known problem and hold it in their
// memory. Whether they have slots is left to the caller.
func Usable(targets []*Target, requirements Requirements) []*Target {
	healthy := filter(InAllowedRegions(targets, requirements), requirements).healthy
	return slices.DeleteFunc(healthy, func(target *Target) bool { return !hasMemory(target, requirements) })
}
