package config

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// LostRaceError reports that a publication was based on a version that is not, or
// no longer, in force. Nothing was published.
type LostRaceError struct {
	Base    infra.Offset
	InForce infra.Offset
}

// Error implements error.
func (e *LostRaceError) Error() string {
	return fmt.Sprintf("configuration is based on version %d, but version %d is in force", e.Base, e.InForce)
}
