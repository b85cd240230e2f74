package order_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/order"
)

// slowLog answers each append and read after 0.5 to 2 s.
var slowLog = fakes.Faults{SlowMS: 500, SlowestMS: 2000}

// BenchmarkOrdersOnSlowLog places orders at a steady rate through four daemons
// while the log is slow. Each is placed once.
func BenchmarkOrdersOnSlowLog(b *testing.B) {
	for _, timeout := range []time.Duration{8 * time.Second, 20 * time.Second} {
		for _, rate := range []int{10, 40, 160} {
			b.Run(fmt.Sprintf("timeout=%s/orders/s=%d", timeout, rate), func(b *testing.B) { benchSlowLog(b, rate, timeout) })
		}
	}
}

func benchSlowLog(b *testing.B, rate int, timeout time.Duration) {
	bed := buildBed(fakes.DefaultAppendRate, func(cleanup func()) { b.Cleanup(cleanup) })
	bed.claimTimeout = 0
	nodes := bed.startNodes(4)
	warmUp(bed, nodes)
	bed.log.Set(slowLog)
	var mu sync.Mutex
	took := map[string][]time.Duration{}
	var wait sync.WaitGroup
	pace := time.NewTicker(time.Second / time.Duration(rate))
	defer pace.Stop()
	started := time.Now()
	for i := range b.N {
		<-pace.C
		wait.Go(func() {
			sent := time.Now()
			o := bed.order(fmt.Sprintf("slow-%d", i))
			o.Timeout = timeout
			o.DeadlineMillis = sent.Add(o.Timeout).UnixMilli()
			fate := fateOf(nodes[i%len(nodes)].place(o))
			mu.Lock()
			defer mu.Unlock()
			took[fate] = append(took[fate], time.Since(sent))
		})
	}
	wait.Wait()
	seconds := time.Since(started).Seconds()
	bed.log.Set(fakes.Faults{})
	for _, fate := range []string{"done", "not-run", "unknown"} {
		b.ReportMetric(float64(len(took[fate])), fate)
		if len(took[fate]) > 0 {
			p50, p95 := delayAt(took[fate], 0.5), delayAt(took[fate], 0.95)
			b.ReportMetric(p50.Seconds(), fate+"-p50-s")
			b.ReportMetric(p95.Seconds(), fate+"-p95-s")
		}
	}
	b.ReportMetric(float64(len(took["done"]))/seconds, "orders/s")
	for i := range b.N {
		if runs := bed.service.RunsOf(fmt.Sprintf("slow-%d", i)); runs > 1 {
			b.Errorf("order %d ran %d times", i, runs)
		}
	}
}

func fateOf(result order.Result) string {
	switch {
	case result.Refusal == nil:
		return "done"
	case isNotRun(result):
		return "not-run"
	default:
		return "unknown"
	}
}
