package order_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
)

// BenchmarkOrders sends orders from many callers through the daemons of one data
// centre, with a log that accepts 300 appends per second. The CPU time includes
// the daemons, the fake log and service, and the callers.
func BenchmarkOrders(b *testing.B) {
	for _, daemons := range []int{1, 4, 8} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("daemons=%d/callers=%d", daemons, callers), func(b *testing.B) { benchOrders(b, daemons, callers) })
		}
	}
}

func benchOrders(b *testing.B, count, callers int) {
	fixture := buildFixture(fakes.DefaultAppendRate, func(cleanup func()) { b.Cleanup(cleanup) })
	fixture.snapshotEvery = 1 << 20
	fixture.claimTimeout = 0 // use the default
	daemons := fixture.startDaemons(count)
	var refused atomic.Int64
	took := make([]time.Duration, b.N)
	warmUp(fixture, daemons)
	appends, cpu := fixture.log.Appends(), cpuTime()
	b.ResetTimer()
	started := time.Now()
	runConcurrently(b.N, callers, func(i int) {
		sent := time.Now()
		if daemons[i%count].place(fixture.order(fmt.Sprintf("bench-%d", i))).Refusal != nil {
			refused.Add(1)
		}
		took[i] = time.Since(sent)
	})
	elapsed := time.Since(started)
	b.StopTimer()
	reportLatencies(b, took)
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "orders/s")
	b.ReportMetric(float64(fixture.log.Appends()-appends)/elapsed.Seconds(), "appends/s")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/order")
	b.ReportMetric(float64(refused.Load()), "refused")
}

// BenchmarkOrdersAtRate sends orders through four daemons at a constant rate that
// the log can sustain without batching.
func BenchmarkOrdersAtRate(b *testing.B) {
	for _, rate := range []int{25, 50, 100} {
		b.Run(fmt.Sprintf("orders/s=%d", rate), func(b *testing.B) {
			fixture := buildFixture(fakes.DefaultAppendRate, func(cleanup func()) { b.Cleanup(cleanup) })
			fixture.claimTimeout = 0
			daemons := fixture.startDaemons(4)
			warmUp(fixture, daemons)
			took := make([]time.Duration, b.N)
			appends, cpu := fixture.log.Appends(), cpuTime()
			var wait sync.WaitGroup
			pace := time.NewTicker(time.Second / time.Duration(rate))
			defer pace.Stop()
			for i := range b.N {
				<-pace.C
				wait.Go(func() {
					sent := time.Now()
					daemons[i%len(daemons)].place(fixture.order(fmt.Sprintf("paced-%d", i)))
					took[i] = time.Since(sent)
				})
			}
			wait.Wait()
			reportLatencies(b, took)
			b.ReportMetric(float64(fixture.log.Appends()-appends)/float64(b.N), "appends/order")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/order")
		})
	}
}

func warmUp(fixture *fixture, daemons []*daemon) {
	for slot := range 4 * order.Slots {
		daemons[0].place(fixture.order(fmt.Sprintf("warm-%d", slot)))
	}
	time.Sleep(time.Second) // so that a burst saved up by the log's rate limiter does not count
}

// BenchmarkDirectCall calls the service directly, as a baseline.
func BenchmarkDirectCall(b *testing.B) {
	fixture := buildFixture(fakes.DefaultAppendRate, func(cleanup func()) { b.Cleanup(cleanup) })
	client := endpoint.NewHTTPService()
	took := make([]time.Duration, b.N)
	runConcurrently(b.N, 16, func(i int) {
		sent := time.Now()
		o := fixture.order(fmt.Sprintf("direct-%d", i))
		_, _ = client.Call(context.Background(), o.Addresses[0], o.Call)
		took[i] = time.Since(sent)
	})
	reportLatencies(b, took)
}

func runConcurrently(n, callers int, task func(int)) {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				task(i)
			}
		})
	}
	wait.Wait()
}

func reportLatencies(b *testing.B, took []time.Duration) {
	at := func(share float64) float64 { return float64(percentile(took, share).Microseconds()) / 1000 }
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.95), "p95-ms")
	b.ReportMetric(at(0.99), "p99-ms")
}

// percentile returns the latency that the given share of the calls did not exceed.
func percentile(took []time.Duration, share float64) time.Duration {
	slices.Sort(took)
	return took[int(share*float64(len(took)-1))]
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkKeptKeys measures the memory and the snapshot size of a retained key
// with an answer of 100 bytes.
func BenchmarkKeptKeys(b *testing.B) {
	for _, keys := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for range b.N {
				benchKeptKeys(b, keys)
			}
		})
	}
}

func benchKeptKeys(b *testing.B, keys int) {
	before := heapBytes()
	fold := order.NewFold()
	records := 0
	started := time.Now()
	for i := range keys {
		records += applyOrder(fold, i)
	}
	applied := time.Since(started)
	b.ReportMetric(float64(heapBytes()-before)/float64(keys), "heap-B/key")
	started = time.Now()
	data, err := fold.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(started).Nanoseconds())/float64(keys), "snapshot-ns/key")
	b.ReportMetric(float64(len(data))/float64(keys), "snapshot-B/key")
	b.ReportMetric(float64(records)/float64(keys), "record-B/order")
	b.ReportMetric(float64(applied.Nanoseconds())/float64(keys), "apply-ns/order")
	runtime.KeepAlive(fold)
}

// applyOrder applies the claim and the outcome of one order and returns the
// encoded size of both records in bytes.
func applyOrder(fold *order.Fold, i int) int {
	key := order.NewKey("merchants", "orders", fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, i)))[:36])
	claim := order.Claim{Key: key, Method: "POST", Path: "/orders", DeadlineMillis: 1, LifetimeMillis: 1 << 40, Attempt: uint64(i)}
	answer := endpoint.ServiceAnswer{Status: 200, ContentType: "application/json", Body: benchAnswer(i)}
	offset := 2*i + 1
	outcome := order.Outcome{Key: key, State: order.Ran, AnswerKept: true, Answer: answer}
	outcome.Claim += logOffset(offset)
	size := applyRecord(fold, offset, order.KindClaim, claim)
	return size + applyRecord(fold, offset+1, order.KindOutcome, outcome)
}

// benchAnswer returns an answer of 100 bytes.
func benchAnswer(i int) []byte {
	return fmt.Appendf(nil, `{"status":"accepted","ticket":"%x","n":%05d}`, sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(i >> 16)}), i%100_000)[:100]
}

func applyRecord(fold *order.Fold, offset int, kind logstream.Kind, body any) int {
	encoded, _ := logstream.Marshal(body)
	const writer = "0e7b8f0c-6a51-4d0b-9c1e-000000000000/1"
	_ = fold.Apply(logstream.Position{Offset: logOffset(offset), Time: time.UnixMilli(1), Writer: writer}, kind, encoded)
	entry, _ := logstream.Marshal(logstream.Entry{Writer: writer, Seq: uint64(offset), Millis: 1 << 40, Kind: kind, Body: encoded})
	return len(entry)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
