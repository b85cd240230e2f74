package main

import (
	"errors"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// failure is the JSON output of a failed command.
type failure struct {
	ExitCode int                 `json:"exit_code"`
	Message  string              `json:"message"`
	Problems strictyaml.Problems `json:"problems,omitempty"`
	InForce  infra.Offset        `json:"in_force,omitempty"` // version that was put in force by another publisher
	Changes  []config.Change     `json:"changes,omitempty"`  // from the version in force to the configuration that was not published
}

func newFailure(code int, err error) failure {
	failed := failure{ExitCode: code, Message: err.Error()}
	if problems, ok := errors.AsType[strictyaml.Problems](err); ok {
		failed.Problems = problems
	}
	if conflict, ok := errors.AsType[*config.ConflictError](err); ok {
		failed.InForce = conflict.StaleBase.InForce
		failed.Changes = conflict.Changes
	}
	return failed
}
