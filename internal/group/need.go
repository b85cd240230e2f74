package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
)

// need is one group that the plan should form.
type need struct {
	model   *config.Model
	covered bool          // a group that is to be replaced still serves in its place
	age     time.Duration // for how long the model has had too few groups
}
