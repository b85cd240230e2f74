package route

import (
	"github.com/plantainmux/plantainmux/internal/view"
)

// affinityBound is how much longer than the best group a request may wait for
// the group that probably holds its prefix.
const affinityBound = 1.25

// PickBest returns the group that probably holds the prefix, if its expected
// waiting is within a bound of the best one's, and else the best.
func PickBest(scored []Scored, prefix uint64) (*view.Serving, bool) {
	if len(scored) == 0 {
		return nil, false
	}
	best, home := scored[0], scored[0]
	for _, s := range scored[1:] {
		if compare(s, best) < 0 {
			best = s
		}
		if affinity(prefix, s) > affinity(prefix, home) {
			home = s
		}
	}
	if prefix != 0 && home.Wait <= best.Wait*affinityBound {
		return home.Group, true
	}
	return best.Group, true
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
