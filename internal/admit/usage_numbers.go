package admit

import (
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// usageNumbers assigns a number to each pair of model and team in a configuration. Daemons
// with the same configuration version use the same numbers.
type usageNumbers struct {
	version infra.Offset
	keys    []demandKey
	numbers map[demandKey]int
}

func newUsageNumbers(c config.Versioned) *usageNumbers {
	n := &usageNumbers{version: c.Version, numbers: map[demandKey]int{}}
	for _, model := range c.Models {
		for _, team := range c.Teams {
			key := demandKey{model.Name, team.Name}
			n.numbers[key] = len(n.keys)
			n.keys = append(n.keys, key)
		}
	}
	return n
}

// key returns the pair with a number. The number may come from another daemon and be out
// of range.
func (n *usageNumbers) key(number uint64) (demandKey, bool) {
	if number >= uint64(len(n.keys)) {
		return demandKey{}, false
	}
	return n.keys[number], true
}

// prune removes the entries without a number from usage.
func (n *usageNumbers) prune(usage map[demandKey]TeamUsage) {
	for key := range usage {
		if _, ok := n.numbers[key]; !ok {
			delete(usage, key)
		}
	}
}
