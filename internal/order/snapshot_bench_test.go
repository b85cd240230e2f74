package order_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/traffic"
)

// BenchmarkClaimsDuringSnapshot measures the latency of claims, proposed at a rate
// of one per millisecond, while a snapshot of a slot is taken, appended and read
// back.
func BenchmarkClaimsDuringSnapshot(b *testing.B) {
	for _, keys := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for range b.N {
				benchClaimsDuringSnapshot(b, keys)
			}
		})
	}
}

func benchClaimsDuringSnapshot(b *testing.B, keys int) {
	const (
		claims   = 2000
		interval = time.Millisecond
	)
	fold := order.NewFold()
	for i := range keys {
		applyOrder(fold, i)
	}
	log := fakes.NewFaultyLog(fakes.NewLog(testLogRate), 1, fakes.LogFaults{})
	stream := logstream.New(log, order.StreamName(0), fold, logstream.Options{Writer: "a/1", SnapshotEvery: 1 << 30, SnapshotsApart: true, Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stream.Run(ctx)
	took := make([]time.Duration, claims)
	propose := func(i int) {
		claim := order.Claim{Key: order.Key(fmt.Sprintf("new-%d", i)), DeadlineMillis: 1 << 42, LifetimeMillis: 1 << 40}
		started := time.Now()
		if _, err := stream.Propose(ctx, order.KindClaim, claim); err != nil {
			b.Error(err)
		}
		took[i] = time.Since(started)
	}
	propose(0)
	done := make(chan struct{}, claims)
	pace := time.NewTicker(interval)
	defer pace.Stop()
	for i := range claims {
		<-pace.C
		if i == claims/4 {
			go stream.ProposeSnapshot()
		}
		go func() { propose(i); done <- struct{}{} }()
	}
	for range claims {
		<-done
	}
	longestBefore := slices.Max(took[claims/8 : claims/4])
	b.ReportMetric(float64(longestBefore.Microseconds())/1000, "max-ms-before")
	b.ReportMetric(float64(slices.Max(took[claims/4:]).Microseconds())/1000, "max-ms-during")
}

// BenchmarkSnapshotBytes measures the traffic that one snapshot of a slot causes
// between the log and its writer, and between the log and another follower, in
// both directions.
func BenchmarkSnapshotBytes(b *testing.B) {
	for _, keys := range []int{10_000, 40_000, 160_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for range b.N {
				benchSnapshotBytes(b, keys)
			}
		})
	}
}

func benchSnapshotBytes(b *testing.B, keys int) {
	log := fakes.NewLog(testLogRate)
	server := mustServe(log)
	defer server.Kill()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var counters [2]traffic.Counter
	var streams [2]*logstream.Stream[*order.Fold]
	for i := range streams {
		fold := order.NewFold()
		for n := range keys {
			applyOrder(fold, n)
		}
		client := infra.NewHTTPLog(server.URL()).CountOn(&counters[i])
		options := logstream.Options{Writer: fmt.Sprint("w", i), SnapshotEvery: 1 << 30, SnapshotsApart: true, Logger: slog.New(slog.DiscardHandler)}
		streams[i] = logstream.New(client, order.StreamName(0), fold, options)
		go streams[i].Run(ctx)
		_ = streams[i].WaitBooted(ctx)
	}
	_, _ = streams[0].Propose(ctx, order.KindTick, order.Tick{})
	before := [2]uint64{bytesOf(&counters[0]), bytesOf(&counters[1])}
	started := time.Now()
	streams[0].ProposeSnapshot()
	for streams[1].Next() < 3 {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(time.Since(started).Milliseconds()), "ms-until-read")
	b.ReportMetric(float64(bytesOf(&counters[0])-before[0]), "writer-B")
	b.ReportMetric(float64(bytesOf(&counters[1])-before[1]), "follower-B")
}

func bytesOf(counter *traffic.Counter) uint64 { return counter.Sent() + counter.Received() }
