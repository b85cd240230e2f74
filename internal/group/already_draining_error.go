package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// AlreadyDrainingError rejects a drain of a group that is already draining.
type AlreadyDrainingError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *AlreadyDrainingError) Error() string {
	return fmt.Sprintf("group %d is already draining", e.Group)
}
