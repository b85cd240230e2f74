package suspect

import "slices"

// candidate is a trait with the groups that crashed on requests with it.
type candidate struct {
	trait  Trait
	sound  bool
	groups map[GroupKey]bool
}

// threshold returns the number of unexplained crashes from which on the trait is refused.
func (c candidate) threshold() int {
	if c.sound {
		return refuseSound
	}
	return refuseShared
}

// unexplained returns the number of crashes that no likelier part was in. Parts that are as likely
// do not explain each other: they may always come together.
func (c candidate) unexplained(others []candidate) int {
	return c.unexplainedBy(slices.DeleteFunc(slices.Clone(others), func(o candidate) bool {
		return o.sound == c.sound && len(o.groups) <= len(c.groups)
	}))
}

// unexplainedBy returns the number of crashes that none of the others was in.
func (c candidate) unexplainedBy(others []candidate) int {
	count := 0
	for group := range c.groups {
		if !slices.ContainsFunc(others, func(o candidate) bool { return o.groups[group] }) {
			count++
		}
	}
	return count
}
