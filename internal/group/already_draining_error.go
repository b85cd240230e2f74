package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// AlreadyDrainingError voids a second drain of a group.
type AlreadyDrainingError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *AlreadyDrainingError) Error() string {
	return fmt.Sprintf("group %d drains already", e.Group)
}
