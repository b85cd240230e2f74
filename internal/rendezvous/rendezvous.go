// Package rendezvous chooses daemons for a key by highest random weight. Two
// daemons with the same list choose alike; a change of the list moves only the
// keys of the daemons that changed.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Choose returns the n daemons with the highest weight for a key, best first.
func Choose(key string, daemons []fleet.DaemonID, n int) []fleet.DaemonID {
	type candidate struct {
		daemon fleet.DaemonID
		weight uint64
	}
	candidates := make([]candidate, 0, len(daemons))
	for _, daemon := range daemons {
		candidates = append(candidates, candidate{daemon, weight(key, daemon)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.daemon, b.daemon))
	})
	chosen := make([]fleet.DaemonID, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		chosen = append(chosen, c.daemon)
	}
	return chosen
}

// Chosen reports whether a daemon is among the n chosen for a key.
func Chosen(key string, daemons []fleet.DaemonID, n int, self fleet.DaemonID) bool {
	return slices.Contains(Choose(key, daemons, n), self)
}

func weight(key string, daemon fleet.DaemonID) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(daemon))
	return digest.Sum64()
}
