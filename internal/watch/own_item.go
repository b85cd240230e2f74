package watch

import (
	"cmp"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// ownItem is this daemon's opinion on one VM.
type ownItem struct {
	vm      fleet.VMID
	opinion opinion
}

func compareItems(a, b ownItem) int { return cmp.Compare(a.vm, b.vm) }
