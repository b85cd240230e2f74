package main

import (
	"errors"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// failure is the JSON form of a failed command.
type failure struct {
	ExitCode int                 `json:"exit_code"`
	Message  string              `json:"message"`
	Problems strictyaml.Problems `json:"problems,omitempty"`
	InForce  infra.Offset        `json:"in_force,omitempty"` // version that won the race
	Changes  []config.Change     `json:"changes,omitempty"`  // from the version in force to what was to be published
}

func newFailure(code int, err error) failure {
	told := failure{ExitCode: code, Message: err.Error()}
	if problems, ok := errors.AsType[strictyaml.Problems](err); ok {
		told.Problems = problems
	}
	if conflict, ok := errors.AsType[*config.ConflictError](err); ok {
		told.InForce = conflict.Race.InForce
		told.Changes = conflict.Changes
	}
	return told
}
