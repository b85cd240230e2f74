package daemon

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	logReachPeriod = 250 * time.Millisecond
	// logAwayAfter is how long reads fail before the log counts as away.
	logAwayAfter = 2 * time.Second
)

// watchLogReach tells the peers whether this daemon can read the log, so that
// another one plans, sends control orders and runs orders meanwhile.
func (d *Daemon) watchLogReach(ctx context.Context) {
	for {
		d.mesh.SetLogUnreachable(!d.groups.Booted() || d.groups.Failing(time.Now()) > logAwayAfter)
		if !wait.For(ctx, logReachPeriod) {
			return
		}
	}
}
