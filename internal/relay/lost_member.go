package relay

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

// groupLostMember reports whether a group that stopped responding lost a member. It
// returns false if the daemon sees no complete group at all, since the daemon itself
// may then be partitioned.
func groupLostMember(v *view.View, fencing fleet.FencingNumber) bool {
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
