// Package rendezvous assigns keys to nodes by rendezvous hashing (highest
// random weight). Daemons with the same list of nodes choose the same nodes. A
// change of the list moves only keys of the nodes that were added or removed.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the n nodes with the highest weights for a key, the highest
// first. It returns all nodes if there are fewer than n.
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

// Chosen reports whether self is among the nodes that Choose returns for a key.
// It returns false if self is not in nodes.
func Chosen[N ~string](key string, nodes []N, n int, self N) bool {
	own := candidate[N]{self, weight(key, string(self))}
	listed := false
	higher := 0
	for _, node := range nodes {
		if node == self {
			listed = true
			continue
		}
		if compare(candidate[N]{node, weight(key, string(node))}, own) < 0 {
			higher++
		}
		if higher == n {
			return false
		}
	}
	return listed
}

// separator is hashed between key and node, so that different pairs with the same
// concatenation have different hashes.
var separator = []byte{0}

// candidate is a node with its weight for a key.
type candidate[N ~string] struct {
	node   N
	weight uint64
}

// compare orders candidates by descending weight. Equal weights are ordered by
// node.
func compare[N ~string](a, b candidate[N]) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
}

// weight returns the hash of a key and a node.
func weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
