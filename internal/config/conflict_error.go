package config

import (
	"fmt"
	"strings"
)

// ConflictError says that another configuration was put in force first. Nothing
// was changed.
type ConflictError struct {
	Race    *LostRaceError
	Changes []Change // from the configuration in force to the one that was to be published
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("%v; nothing was changed; from the version in force to yours:", e.Race)}
	for _, change := range e.Changes {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the lost race.
func (e *ConflictError) Unwrap() error { return e.Race }
