package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// NoSuchGroupError rejects a record about a group that does not exist.
type NoSuchGroupError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *NoSuchGroupError) Error() string {
	return fmt.Sprintf("group %d does not exist", e.Group)
}
