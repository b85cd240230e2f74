package daemon

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	logCheckPeriod = 250 * time.Millisecond
	// logUnreachableAfter is how long reads must have failed before the log
	// counts as unreachable.
	logUnreachableAfter = 2 * time.Second
)

// announceLogReachability tells the peers whether this daemon can read the log,
// so that another one plans groups, sends control orders and runs orders in the
// meantime.
func (d *Daemon) announceLogReachability(ctx context.Context) {
	for {
		d.mesh.SetLogUnreachable(!d.groups.Booted() || d.groups.Failing(time.Now()) > logUnreachableAfter)
		if !wait.For(ctx, logCheckPeriod) {
			return
		}
	}
}
