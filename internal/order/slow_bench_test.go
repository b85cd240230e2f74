package order_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/order"
)

// slowLog delays each append and read by 0.5 to 2 s.
var slowLog = fakes.Faults{SlowMS: 500, SlowestMS: 2000}

// BenchmarkOrdersOnSlowLog sends orders through four daemons at a constant rate
// while the log is slow. Each order is sent once.
func BenchmarkOrdersOnSlowLog(b *testing.B) {
	for _, timeout := range []time.Duration{8 * time.Second, 20 * time.Second} {
		for _, rate := range []int{10, 40, 160} {
			b.Run(fmt.Sprintf("timeout=%s/orders/s=%d", timeout, rate), func(b *testing.B) { benchSlowLog(b, rate, timeout) })
		}
	}
}

func benchSlowLog(b *testing.B, rate int, timeout time.Duration) {
	fixture := buildFixture(fakes.DefaultAppendRate, func(cleanup func()) { b.Cleanup(cleanup) })
	fixture.claimTimeout = 0
	daemons := fixture.startDaemons(4)
	warmUp(fixture, daemons)
	fixture.log.Set(slowLog)
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
			o := fixture.order(fmt.Sprintf("slow-%d", i))
			o.Timeout = timeout
			o.DeadlineMillis = sent.Add(o.Timeout).UnixMilli()
			outcome := outcomeOf(daemons[i%len(daemons)].place(o))
			mu.Lock()
			defer mu.Unlock()
			took[outcome] = append(took[outcome], time.Since(sent))
		})
	}
	wait.Wait()
	seconds := time.Since(started).Seconds()
	fixture.log.Set(fakes.Faults{})
	for _, outcome := range []string{"done", "not-run", "unknown"} {
		b.ReportMetric(float64(len(took[outcome])), outcome)
		if len(took[outcome]) > 0 {
			p50, p95 := percentile(took[outcome], 0.5), percentile(took[outcome], 0.95)
			b.ReportMetric(p50.Seconds(), outcome+"-p50-s")
			b.ReportMetric(p95.Seconds(), outcome+"-p95-s")
		}
	}
	b.ReportMetric(float64(len(took["done"]))/seconds, "orders/s")
	for i := range b.N {
		if runs := fixture.service.RunsOf(fmt.Sprintf("slow-%d", i)); runs > 1 {
			b.Errorf("order %d ran %d times", i, runs)
		}
	}
}

func outcomeOf(result order.Result) string {
	switch {
	case result.Refusal == nil:
		return "done"
	case isNotRun(result):
		return "not-run"
	default:
		return "unknown"
	}
}
