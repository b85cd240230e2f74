package adminapi

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// StreamStatus is the position of a daemon in one log stream that it follows.
type StreamStatus struct {
	Name        string       `json:"name"`
	Booted      bool         `json:"booted"`       // its end has been reached at least once since the start
	Next        infra.Offset `json:"next"`         // next offset to apply
	ConfirmedAt time.Time    `json:"confirmed_at"` // when its end was last reached
}
