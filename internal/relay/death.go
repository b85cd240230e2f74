package relay

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

// groupDied reports whether a group that fell silent lost a member. A daemon
// that sees no complete group at all may itself be cut off and judges none.
func groupDied(v *view.View, fencing fleet.FencingNumber) bool {
	if len(v.Groups) == 0 {
		return false
	}
	status, ok := v.StatusOf(fencing)
	if !ok {
		return true
	}
	switch status.Condition {
	case group.MemberSilent, group.MemberBooted, group.MemberMoved:
		return true
	default:
		return false
	}
}
