package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
)

// need is one group that is missing and that the plan should form.
type need struct {
	model   *config.Model
	covered bool          // a group that is to be replaced still serves, so there is no downtime
	age     time.Duration // how long the model has had too few complete groups
}
