// Package rendezvous chooses nodes for a key by highest random weight. Two
// daemons with the same list choose alike; a change of the list moves only the
// keys of the nodes that changed.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the n nodes with the highest weight for a key, best first.
func Choose[N ~string](key string, nodes []N, n int) []N {
	candidates := make([]candidate[N], 0, len(nodes))
	for _, node := range nodes {
		candidates = append(candidates, candidate[N]{node, weight(key, string(node))})
	}
	slices.SortFunc(candidates, func(a, b candidate[N]) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	chosen := make([]N, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		chosen = append(chosen, c.node)
	}
	return chosen
}

// Chosen reports whether a node is among the n chosen for a key.
func Chosen[N ~string](key string, nodes []N, n int, self N) bool {
	return slices.Contains(Choose(key, nodes, n), self)
}

// candidate is a node with its weight for a key.
type candidate[N ~string] struct {
	node   N
	weight uint64
}

func weight(key, node string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
