package watch

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/plantainmux/plantainmux/internal/capacity"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/traffic"
)

const (
	benchPeriod = 500 * time.Millisecond
	benchBound  = 2 * time.Second
	benchSettle = 4 * time.Second
	benchWindow = 6 * time.Second
)

// sharingCost is the resource usage of sharing for one daemon.
type sharingCost struct {
	sentBytes  float64 // per second
	cpuMicros  float64 // CPU microseconds per second
	goroutines float64
	heapBytes  float64
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// measureSharing runs daemons that watch members and returns the cost of one
// daemon.
func measureSharing(b *testing.B, daemons, members int) sharingCost {
	heap, goroutines := heapInUse(), runtime.NumGoroutine()
	nodes := startNodes(b, newEngines(members), daemons, benchPeriod, benchBound)
	time.Sleep(benchSettle)
	sent, cpu := sentBytes(nodes), cpuTime()
	time.Sleep(benchWindow)
	share := float64(daemons) * benchWindow.Seconds()
	cost := sharingCost{
		sentBytes:  (sentBytes(nodes) - sent) / share,
		cpuMicros:  float64((cpuTime() - cpu).Microseconds()) / share,
		goroutines: float64(runtime.NumGoroutine()-goroutines) / float64(daemons),
	}
	cost.heapBytes = (heapInUse() - heap) / float64(daemons)
	for _, n := range nodes {
		if stale := n.stale(benchBound); stale > 0 {
			b.Errorf("%d members stale", stale)
		}
		n.kill()
	}
	return cost
}

func sentBytes(nodes []*node) float64 {
	total := uint64(0)
	for _, n := range nodes {
		total += n.metrics.Counter("plantainmux_peer_sent_bytes_total").Get()
	}
	return float64(total)
}

// reportLines reports the slope of a line fitted through the cost at each size.
func reportLines(b *testing.B, unit string, sizes []int, costs []sharingCost) {
	fields := map[string]func(sharingCost) float64{
		"sentB/s":    func(c sharingCost) float64 { return c.sentBytes },
		"cpu-us/s":   func(c sharingCost) float64 { return c.cpuMicros },
		"goroutines": func(c sharingCost) float64 { return c.goroutines },
		"heapB":      func(c sharingCost) float64 { return c.heapBytes },
	}
	for name, field := range fields {
		var points []capacity.Point
		for i, size := range sizes {
			points = append(points, capacity.Point{Size: float64(size), Cost: field(costs[i])})
		}
		line, err := capacity.Fit(points)
		if err != nil {
			b.Fatal(err)
		}
		b.Logf("%s: points %v, base %.1f, slope %.2f a %s, residual %.3f", name, points, line.Base, line.Slope, unit, line.Residual)
		b.ReportMetric(line.Slope, name+"/"+unit)
	}
}

// BenchmarkSharingByPeers measures one daemon's cost for each further daemon in
// the data centre.
func BenchmarkSharingByPeers(b *testing.B) {
	sizes := []int{3, 7, 15}
	var costs []sharingCost
	for _, peers := range sizes {
		costs = append(costs, measureSharing(b, peers+1, 96))
	}
	reportLines(b, "peer", sizes, costs)
}

// BenchmarkSharingByMembers measures one daemon's cost for each member that it
// watches, in a data centre of eight daemons.
func BenchmarkSharingByMembers(b *testing.B) {
	const daemons = 8
	var sizes []int
	var costs []sharingCost
	for _, members := range []int{48, 192, 384} {
		sizes = append(sizes, members*watchersPerMember/daemons)
		costs = append(costs, measureSharing(b, daemons, members))
	}
	reportLines(b, "watched", sizes, costs)
}

// BenchmarkPoll measures one poll over HTTP, client and server together.
func BenchmarkPoll(b *testing.B) {
	counter := &traffic.Counter{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	engine := fakes.NewEngine(fakes.EngineOptions{VM: "vm-000"})
	engine.SetReport(newEngines(1).reports["vm-000"])
	server := &http.Server{Handler: engine.Handler()}
	go func() { _ = server.Serve(traffic.Listen(listener, counter)) }()
	b.Cleanup(func() { _ = server.Close() })
	client := endpoint.NewHTTPEngine()
	cpu := cpuTime()
	for b.Loop() {
		if _, err := client.Report(context.Background(), listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N)/1000, "cpu-us/poll")
	b.ReportMetric(float64(counter.Sent()+counter.Received())/float64(b.N), "B/poll")
}
