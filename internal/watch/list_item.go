package watch

import (
	"cmp"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// listItem is a daemon's own poll state of one VM.
type listItem struct {
	vm    fleet.VMID
	state pollState
}

func compareItems(a, b listItem) int { return cmp.Compare(a.vm, b.vm) }
