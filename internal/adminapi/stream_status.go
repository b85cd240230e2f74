package adminapi

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// StreamStatus is what operators see of one log stream that a daemon follows.
type StreamStatus struct {
	Name        string       `json:"name"`
	Booted      bool         `json:"booted"`       // read to its end once
	Next        infra.Offset `json:"next"`         // first offset that is not applied
	ConfirmedAt time.Time    `json:"confirmed_at"` // when its end was last reached
}
