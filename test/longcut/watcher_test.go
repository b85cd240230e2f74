package longcut

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/testbed"
)

// watcher runs checks beside a spec and notes what was wrong.
type watcher struct {
	stopped chan struct{}
	once    sync.Once
	running sync.WaitGroup

	mu      sync.Mutex
	wrong   []string
	counted int // checks that were made
}

func newWatcher() *watcher {
	w := &watcher{stopped: make(chan struct{})}
	DeferCleanup(w.stop)
	return w
}

// each runs a check again and again until the watcher is stopped. A check
// returns what is wrong, or nothing.
func (w *watcher) each(period time.Duration, check func(round int) string) {
	w.running.Go(func() {
		for round := 0; ; round++ {
			select {
			case <-w.stopped:
				return
			case <-time.After(period):
			}
			w.note(check(round))
		}
	})
}

func (w *watcher) note(wrong string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counted++
	if wrong != "" {
		w.wrong = append(w.wrong, wrong)
	}
}

// stop ends the checks and returns their number and what was wrong.
func (w *watcher) stop() (int, []string) {
	w.once.Do(func() { close(w.stopped) })
	w.running.Wait()
	return w.counted, w.wrong
}

// neverBack checks that a daemon's configuration never reverts and that its
// view holds no VM in two groups.
func neverBack(d *testbed.Daemon) func(int) string {
	highest := infra.Offset(0)
	return func(int) string {
		status, err := d.Status()
		if err != nil {
			return "no status: " + err.Error()
		}
		if status.ConfigVersion < highest {
			return fmt.Sprintf("version %d in force after %d", status.ConfigVersion, highest)
		}
		highest = status.ConfigVersion
		seen := map[fleet.VMID]bool{}
		for _, g := range status.Groups {
			for _, vm := range g.Members {
				if seen[vm] {
					return fmt.Sprintf("VM %s in two groups", vm)
				}
				seen[vm] = true
			}
		}
		return ""
	}
}
