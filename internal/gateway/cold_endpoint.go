package gateway

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// coldEndpoint is an incarnation of an endpoint that is cold.
type coldEndpoint struct {
	id     string
	limit  *targetstats.Limit
	policy targetstats.SharePolicy
	since  time.Time
}
