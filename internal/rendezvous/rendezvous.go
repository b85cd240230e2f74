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
	slices.SortFunc(candidates, compare)
	chosen := make([]N, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		chosen = append(chosen, c.node)
	}
	return chosen
}

// Chosen reports whether a node is among the n chosen for a key.
func Chosen[N ~string](key string, nodes []N, n int, self N) bool {
	own := candidate[N]{self, weight(key, string(self))}
	listed := false
	better := 0
	for _, node := range nodes {
		if node == self {
			listed = true
			continue
		}
		if compare(candidate[N]{node, weight(key, string(node))}, own) < 0 {
			better++
		}
		if better == n {
			return false
		}
	}
	return listed
}

// separator keeps a key's end from being taken for a node's beginning.
var separator = []byte{0}

// candidate is a node with its weight for a key.
type candidate[N ~string] struct {
	node   N
	weight uint64
}

// compare puts the better candidate first.
func compare[N ~string](a, b candidate[N]) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

func weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
