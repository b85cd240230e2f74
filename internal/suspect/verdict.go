package suspect

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a trait with the groups that crashed on requests with it.
type candidate struct {
	trait  Trait
	sound  bool
	groups map[GroupKey]bool
}

// judge returns the traits that are refused.
//
// What runs beside the cause of a crash is accused with it, above all the other parts of the same
// prompt. So a part is judged by the crashes that no other refused part explains, the likelier one
// first: one with which no request was answered, then the one with the most crashes.
func judge(all records, policy Policy, now time.Time) map[Trait]bool {
	refused := map[Trait]bool{}
	var requests, parts []candidate
	for trait, entry := range all {
		c := candidate{trait: trait, sound: entry.sound, groups: entry.counted(policy, now)}
		switch {
		case trait.Part && len(c.groups) >= refuseShared:
			parts = append(parts, c)
		case !trait.Part && entry.refusesRequest(policy, now):
			requests = append(requests, c)
			refused[trait] = true
		}
	}
	slices.SortFunc(parts, func(a, b candidate) int {
		if a.sound != b.sound {
			if b.sound {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.groups), len(a.groups)), cmp.Compare(a.trait.Hash, b.trait.Hash))
	})
	var explaining []candidate
	for _, part := range parts {
		if explainedByRequest(part, requests) || part.unexplained(explaining) < part.threshold() {
			continue
		}
		refused[part.trait] = true
		explaining = append(explaining, part)
	}
	return refused
}

func (c candidate) threshold() int {
	if c.sound {
		return refuseSound
	}
	return refuseShared
}

// unexplained returns the number of crashes that none of the others was in. Parts that were in
// the same crashes explain each other only if one is likelier: they may always come together.
func (c candidate) unexplained(others []candidate) int {
	count := 0
	for group := range c.groups {
		if !slices.ContainsFunc(others, func(o candidate) bool {
			return o.groups[group] && (o.sound != c.sound || len(o.groups) > len(c.groups))
		}) {
			count++
		}
	}
	return count
}

// explainedByRequest reports whether one request, repeated, was in all crashes of a part.
func explainedByRequest(part candidate, requests []candidate) bool {
	return slices.ContainsFunc(requests, func(request candidate) bool {
		for group := range part.groups {
			if !request.groups[group] {
				return false
			}
		}
		return true
	})
}
