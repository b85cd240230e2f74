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

// BenchmarkOrders places orders from many callers through daemons of one data
// centre, before a log of 300 appends a second. The processor time is that of
// daemons, stand-ins and callers together.
func BenchmarkOrders(b *testing.B) {
	for _, nodes := range []int{1, 4, 8} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("daemons=%d/callers=%d", nodes, callers), func(b *testing.B) { benchOrders(b, nodes, callers) })
		}
	}
}

func benchOrders(b *testing.B, count, callers int) {
	bed := buildBed(fakes.DefaultAppendRate, func(cleanup func()) { b.Cleanup(cleanup) })
	bed.snapshotEvery = 1 << 20
	bed.claimTimeout = 0 // the default
	nodes := bed.startNodes(count)
	var refused atomic.Int64
	took := make([]time.Duration, b.N)
	warmUp(bed, nodes)
	appends, cpu := bed.log.Appends(), cpuTime()
	b.ResetTimer()
	started := time.Now()
	spread(b.N, callers, func(i int) {
		sent := time.Now()
		if nodes[i%count].place(bed.order(fmt.Sprintf("bench-%d", i))).Refusal != nil {
			refused.Add(1)
		}
		took[i] = time.Since(sent)
	})
	elapsed := time.Since(started)
	b.StopTimer()
	reportDelays(b, took)
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "orders/s")
	b.ReportMetric(float64(bed.log.Appends()-appends)/elapsed.Seconds(), "appends/s")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/order")
	b.ReportMetric(float64(refused.Load()), "refused")
}

// BenchmarkOrdersAtRate places orders at a steady rate that the log can carry
// one by one, through four daemons.
func BenchmarkOrdersAtRate(b *testing.B) {
	for _, rate := range []int{25, 50, 100} {
		b.Run(fmt.Sprintf("orders/s=%d", rate), func(b *testing.B) {
			bed := buildBed(fakes.DefaultAppendRate, func(cleanup func()) { b.Cleanup(cleanup) })
			bed.claimTimeout = 0
			nodes := bed.startNodes(4)
			warmUp(bed, nodes)
			took := make([]time.Duration, b.N)
			appends, cpu := bed.log.Appends(), cpuTime()
			var wait sync.WaitGroup
			pace := time.NewTicker(time.Second / time.Duration(rate))
			defer pace.Stop()
			for i := range b.N {
				<-pace.C
				wait.Go(func() {
					sent := time.Now()
					nodes[i%len(nodes)].place(bed.order(fmt.Sprintf("paced-%d", i)))
					took[i] = time.Since(sent)
				})
			}
			wait.Wait()
			reportDelays(b, took)
			b.ReportMetric(float64(bed.log.Appends()-appends)/float64(b.N), "appends/order")
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/order")
		})
	}
}

func warmUp(bed *bed, nodes []*node) {
	for slot := range 4 * order.Slots {
		nodes[0].place(bed.order(fmt.Sprintf("warm-%d", slot)))
	}
	time.Sleep(time.Second) // the burst that the log saved up is counted out
}

// BenchmarkDirectCall calls the service without the system, for comparison.
func BenchmarkDirectCall(b *testing.B) {
	bed := buildBed(fakes.DefaultAppendRate, func(cleanup func()) { b.Cleanup(cleanup) })
	client := endpoint.NewHTTPService()
	took := make([]time.Duration, b.N)
	spread(b.N, 16, func(i int) {
		sent := time.Now()
		o := bed.order(fmt.Sprintf("direct-%d", i))
		_, _ = client.Call(context.Background(), o.Addresses[0], o.Call)
		took[i] = time.Since(sent)
	})
	reportDelays(b, took)
}

func spread(n, callers int, do func(int)) {
	var next atomic.Int64
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	wait.Wait()
}

func reportDelays(b *testing.B, took []time.Duration) {
	at := func(share float64) float64 { return float64(delayAt(took, share).Microseconds()) / 1000 }
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.95), "p95-ms")
	b.ReportMetric(at(0.99), "p99-ms")
}

// delayAt returns the delay that a share of the calls stayed within.
func delayAt(took []time.Duration, share float64) time.Duration {
	slices.Sort(took)
	return took[int(share*float64(len(took)-1))]
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkKeptKeys measures what one kept key costs, in memory and in a
// snapshot, with an answer of 100 bytes.
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

// applyOrder folds the claim and the outcome of one order and returns the bytes
// of both records.
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
