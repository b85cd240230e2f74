package route

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/view"
)

// HasCapacity reports whether a group can run one more request without queueing it.
// The load reports in use are from the time reported.
func HasCapacity(group *view.Serving, reported, now time.Time) bool {
	return pendingRequests(group, now.Sub(reported))+1 <= float64(group.Capacity)
}
