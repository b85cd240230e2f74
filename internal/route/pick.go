package route

import (
	"cmp"
	"slices"

	"github.com/plantainmux/plantainmux/internal/view"
)

// affinityWaitFactor limits the expected wait at a group that is chosen for its
// prefix cache, relative to the group with the shortest expected wait.
const affinityWaitFactor = 1.25

// PickBest chooses among the groups whose expected wait is within affinityWaitFactor
// of the shortest: the group that caches most of the prompt, else the preferred
// group of the prefix by rendezvous hashing, else the group with the shortest wait.
func PickBest(scored []Scored, prefix uint64) (*view.Serving, bool) {
	if len(scored) == 0 {
		return nil, false
	}
	best := slices.MinFunc(scored, compare)
	limit := best.Wait * affinityWaitFactor
	if cached, ok := pickCached(scored, prefix, limit); ok {
		return cached.Group, true
	}
	preferred := pickRendezvous(scored, prefix)
	if prefix != 0 && preferred.Wait <= limit {
		return preferred.Group, true
	}
	return best.Group, true
}

// pickCached returns the group within the limit that caches most of the prompt.
func pickCached(scored []Scored, prefix uint64, limit float64) (Scored, bool) {
	most := Scored{}
	for _, s := range scored {
		if s.Wait > limit || s.CachedBlocks == 0 || s.CachedBlocks < most.CachedBlocks {
			continue
		}
		if s.CachedBlocks > most.CachedBlocks || rendezvousWeight(prefix, s) > rendezvousWeight(prefix, most) {
			most = s
		}
	}
	return most, most.CachedBlocks > 0
}

// pickRendezvous returns the group with the highest rendezvous weight for a prefix,
// which is the same at every daemon.
func pickRendezvous(scored []Scored, prefix uint64) Scored {
	return slices.MaxFunc(scored, func(a, b Scored) int {
		return cmp.Compare(rendezvousWeight(prefix, a), rendezvousWeight(prefix, b))
	})
}

// rendezvousWeight returns the weight of a group for a prefix in rendezvous hashing.
func rendezvousWeight(prefix uint64, s Scored) uint64 {
	x := prefix ^ uint64(s.Group.Fencing)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
