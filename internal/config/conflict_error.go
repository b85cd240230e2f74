package config

import (
	"fmt"
	"strings"
)

// ConflictError reports that a publication was rejected because another
// configuration was put in force first. Nothing was published.
type ConflictError struct {
	Race    *LostRaceError
	Changes []Change // from the configuration in force to the rejected one
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("%v; nothing was published; changes from the version in force to the rejected configuration:", e.Race)}
	for _, change := range e.Changes {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the version conflict.
func (e *ConflictError) Unwrap() error { return e.Race }
