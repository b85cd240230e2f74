package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startBenchMesh creates one daemon for each given data centre. The caller runs
// them.
func startBenchMesh(b *testing.B, dataCentres ...fleet.DataCentre) []*Network {
	var listeners []net.Listener
	var addresses []Address
	for _, dataCentre := range dataCentres {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, Address{HostPort: listener.Addr().String(), DataCentre: dataCentre})
	}
	var nodes []*Network
	for i, dataCentre := range dataCentres {
		n, err := NewNetwork(Options{
			Self: fleet.DaemonID(fmt.Sprintf("%s-%d", dataCentre, i)), DataCentre: dataCentre, Secret: testSecret,
			Addresses: addresses, Heartbeat: testHeartbeat,
		})
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: n.Handler()}
		go func() { _ = server.Serve(listeners[i]) }()
		b.Cleanup(func() { _ = server.Close(); n.Close() })
		nodes = append(nodes, n)
	}
	return nodes
}

// findCaller waits for a daemon of a data centre that can reach another one,
// either as a relay to it or through one.
func findCaller(b *testing.B, nodes []*Network, from, to fleet.DataCentre, relay bool) *Network {
	for range 200 {
		time.Sleep(testHeartbeat)
		for _, n := range nodes {
			routing := n.routing.Load()
			if n.options.DataCentre == from && len(n.DataCentres()) > 0 && (len(routing.directLinks(to)) > 0) == relay {
				return n
			}
		}
	}
	b.Fatal("no such daemon")
	return nil
}

// BenchmarkStream measures the cost of one answer of a streamed call to another
// data centre, by answer size, summed over all daemons on its route.
func BenchmarkStream(b *testing.B) {
	for _, route := range []string{"direct", "relayed"} {
		for _, size := range []int{64, 256, 1024} {
			b.Run(fmt.Sprintf("%s/%d", route, size), func(b *testing.B) { benchmarkStream(b, route == "direct", size) })
		}
	}
}

func benchmarkStream(b *testing.B, direct bool, size int) {
	nodes := startBenchMesh(b, "east", "east", "east", "west", "west")
	text := strings.Repeat("x", size)
	for _, n := range nodes {
		n.HandleOpen("items", func(_ context.Context, _ fleet.DaemonID, body cbor.RawMessage, send func(any) error) error {
			var count int
			if err := cbor.Unmarshal(body, &count); err != nil {
				return err
			}
			for range count {
				if err := send(text); err != nil {
					return err
				}
			}
			return nil
		})
	}
	for _, n := range nodes {
		go n.Run()
	}
	from := findCaller(b, nodes, "east", "west", direct)
	sent, cpu := totalSentBytes(nodes), cpuTime()
	b.ResetTimer()
	stream, err := from.Open(context.Background(), "west", "items", b.N)
	if err != nil {
		b.Fatal(err)
	}
	var item string
	for err = stream.Next(&item); err == nil; err = stream.Next(&item) {
	}
	if err != io.EOF {
		b.Fatal(err)
	}
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N)/1000, "cpu-us/item")
	b.ReportMetric(float64(totalSentBytes(nodes)-sent)/float64(b.N), "sentB/item")
}

func totalSentBytes(nodes []*Network) uint64 {
	total := uint64(0)
	for _, n := range nodes {
		total += n.counters.sentBytes.Get()
	}
	return total
}
