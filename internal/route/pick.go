package route

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/view"
)

// affinityBound is how much longer than the best group a request may wait for
// the group that probably holds its prefix.
const affinityBound = 1.25

// PickBest returns, of the groups whose expected waiting is within a bound of
// the best one's, that which holds most of the prompt, else the home of its
// prefix, and else the best group.
func PickBest(scored []Scored, prefix uint64) (*view.Serving, bool) {
	if len(scored) == 0 {
		return nil, false
	}
	best := slices.MinFunc(scored, compare)
	limit := best.Wait * affinityBound
	if holder, ok := pickHolder(scored, prefix, limit); ok {
		return holder.Group, true
	}
	home := pickHome(scored, prefix)
	if prefix != 0 && home.Wait <= limit {
		return home.Group, true
	}
	return best.Group, true
}

// pickHolder returns the group within the limit that holds most of the prompt.
func pickHolder(scored []Scored, prefix uint64, limit float64) (Scored, bool) {
	most := Scored{}
	for _, s := range scored {
		if s.Wait > limit || s.Held == 0 || s.Held < most.Held {
			continue
		}
		if s.Held > most.Held || affinity(prefix, s) > affinity(prefix, most) {
			most = s
		}
	}
	return most, most.Held > 0
}

// pickHome returns the group that every daemon prefers for a prefix.
func pickHome(scored []Scored, prefix uint64) Scored {
	return slices.MaxFunc(scored, func(a, b Scored) int {
		return cmp.Compare(affinity(prefix, a), affinity(prefix, b))
	})
}

// affinity is the rendezvous weight of a group for a prefix.
func affinity(prefix uint64, s Scored) uint64 {
	x := prefix ^ uint64(s.Group.Fencing)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
