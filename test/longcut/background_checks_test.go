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

// backgroundChecks runs checks concurrently with a spec and collects their
// failures.
type backgroundChecks struct {
	stopped chan struct{}
	once    sync.Once
	running sync.WaitGroup

	mu       sync.Mutex
	failures []string
	count    int // checks that have run
}

func newBackgroundChecks() *backgroundChecks {
	c := &backgroundChecks{stopped: make(chan struct{})}
	DeferCleanup(c.stop)
	return c
}

// every runs a check once per period until stop is called. A check returns a
// description of the failure, or the empty string.
func (c *backgroundChecks) every(period time.Duration, check func(round int) string) {
	c.running.Go(func() {
		for round := 0; ; round++ {
			select {
			case <-c.stopped:
				return
			case <-time.After(period):
			}
			c.record(check(round))
		}
	})
}

func (c *backgroundChecks) record(failure string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if failure != "" {
		c.failures = append(c.failures, failure)
	}
}

// stop ends the checks and returns how many have run, and the failures.
func (c *backgroundChecks) stop() (int, []string) {
	c.once.Do(func() { close(c.stopped) })
	c.running.Wait()
	return c.count, c.failures
}

// viewStaysValid returns a check that a daemon's configuration version never
// decreases and that no VM is a member of two groups in its view.
func viewStaysValid(d *testbed.Daemon) func(int) string {
	highest := infra.Offset(0)
	return func(int) string {
		status, err := d.Status()
		if err != nil {
			return "status request failed: " + err.Error()
		}
		if status.ConfigVersion < highest {
			return fmt.Sprintf("configuration version %d in force after version %d", status.ConfigVersion, highest)
		}
		highest = status.ConfigVersion
		seen := map[fleet.VMID]bool{}
		for _, g := range status.Groups {
			for _, vm := range g.Members {
				if seen[vm] {
					return fmt.Sprintf("VM %s is a member of two groups", vm)
				}
				seen[vm] = true
			}
		}
		return ""
	}
}
