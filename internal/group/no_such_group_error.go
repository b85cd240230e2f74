package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// NoSuchGroupError voids a record about a group that does not exist.
type NoSuchGroupError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *NoSuchGroupError) Error() string {
	return fmt.Sprintf("no group %d", e.Group)
}
