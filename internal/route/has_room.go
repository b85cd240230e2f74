package route

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/view"
)

// HasRoom reports whether a group would run one request more at once.
func HasRoom(group *view.Serving, reported, now time.Time) bool {
	return waiting(group, now.Sub(reported))+1 <= float64(group.Capacity)
}
