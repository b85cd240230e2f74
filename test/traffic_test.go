package test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/plantainmux/plantainmux/internal/testbed"
)

const requestInterval = 20 * time.Millisecond

// traffic sends a request to each of some daemons every requestInterval until it
// is stopped, at the latest at the end of the spec. It counts complete answers and
// failed responses; a request that got no response counts as neither.
type traffic struct {
	stopped  chan struct{}
	once     sync.Once
	wait     sync.WaitGroup
	answered atomic.Int64
	failed   atomic.Int64
}

func startTraffic(daemons ...*testbed.Daemon) *traffic {
	t := &traffic{stopped: make(chan struct{})}
	for _, d := range daemons {
		t.wait.Go(func() { t.run(d) })
	}
	DeferCleanup(t.stop)
	return t
}

func (t *traffic) stop() {
	t.once.Do(func() { close(t.stopped) })
	t.wait.Wait()
}

func (t *traffic) run(d *testbed.Daemon) {
	for i := 0; ; i++ {
		select {
		case <-t.stopped:
			return
		case <-time.After(requestInterval):
			t.wait.Go(func() { t.send(d, i) })
		}
	}
}

func (t *traffic) send(d *testbed.Daemon, i int) {
	body := fmt.Sprintf(`{"model":"swatch-draft","prompt":"sample %d","max_tokens":2}`, i)
	response, err := d.Post("/v1/completions", testbed.TeamKey, body, nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err == nil && response.StatusCode == http.StatusOK {
		t.answered.Add(1)
		return
	}
	t.failed.Add(1)
}
