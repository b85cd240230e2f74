package suspect

import (
	"cmp"
	"slices"
	"time"
)

// verdict is the refusal of a trait.
type verdict struct {
	doubtful bool // other parts could be the cause of each of the crashes as well
}

// judge returns the verdicts on the traits that are refused.
//
// What runs beside the cause of a crash is accused with it, above all the other parts of the same
// prompt. So a part is judged by the crashes that no other refused part explains, the likelier one
// first: one with which no request was answered, then the one with the most crashes.
func judge(all records, policy Policy, now time.Time) map[Trait]verdict {
	refused := map[Trait]verdict{}
	var requests, parts []candidate
	for trait, entry := range all {
		switch {
		case trait.Part && entry.count(policy, now) >= refuseShared:
			parts = append(parts, candidate{trait, entry.sound, entry.counted(policy, now)})
		case !trait.Part && entry.refusesRequest(policy, now):
			requests = append(requests, candidate{trait, false, entry.counted(policy, now)})
			refused[trait] = verdict{}
		}
	}
	slices.SortFunc(parts, func(a, b candidate) int {
		return cmp.Or(first(!a.sound, !b.sound), cmp.Compare(len(b.groups), len(a.groups)), cmp.Compare(a.trait.Hash, b.trait.Hash))
	})
	var explaining []candidate
	for _, part := range parts {
		if explainedByRequest(part, requests) || part.unexplained(explaining) < part.threshold() {
			continue
		}
		refused[part.trait] = verdict{doubtful: part.unexplainedBy(others(parts, part)) == 0}
		explaining = append(explaining, part)
	}
	return refused
}

func others(all []candidate, one candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.trait == one.trait })
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
