package evidence

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// Breach is one violation of a condition.
type Breach struct {
	At     time.Time    `json:"at"`
	Stream string       `json:"stream"`
	Offset infra.Offset `json:"offset"`
	Text   string       `json:"text"`
}
