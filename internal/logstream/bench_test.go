package logstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/plantainmux/plantainmux/internal/fakes"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serveLog serves a log over HTTP and counts the transferred bytes.
func serveLog(b *testing.B, log *fakes.Log) (string, *countingListener) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	server := &http.Server{Handler: log.Handler()}
	go func() { _ = server.Serve(counting) }()
	b.Cleanup(func() { _ = server.Close() })
	return "http://" + listener.Addr().String(), counting
}

func benchStream(b *testing.B, url, writer string, options Options) *Stream[*listFold] {
	options.Writer = writer
	ctx, cancel := context.WithCancel(context.Background())
	s := New(infra.NewHTTPLog(url), testStream, newListFold(), options)
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	b.Cleanup(func() { cancel(); <-done })
	return s
}

// BenchmarkProposals measures accepted records per second and appends per record
// at a rate limit of 300 appends per second, by the number of writers and of
// concurrent proposers of each writer.
func BenchmarkProposals(b *testing.B) {
	for _, writers := range []int{1, 4, 8} {
		for _, proposers := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("writers=%d/proposers=%d", writers, proposers), func(b *testing.B) {
				benchProposals(b, writers, proposers)
			})
		}
	}
}

func benchProposals(b *testing.B, writers, proposers int) {
	log := fakes.NewLog(fakes.DefaultAppendRate)
	url, _ := serveLog(b, log)
	options := testOptions("")
	options.PollWait, options.SnapshotEvery = time.Second, 1<<20
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var limited uint64
	var wait sync.WaitGroup
	var streams []*Stream[*listFold]
	for w := range writers {
		streams = append(streams, benchStream(b, url, fmt.Sprint("w", w), options))
	}
	b.ResetTimer()
	for _, s := range streams {
		for range proposers {
			wait.Go(func() {
				for remaining.Add(-1) >= 0 {
					if _, err := s.Propose(context.Background(), kindAdd, 1); err != nil {
						b.Error(err)
					}
				}
			})
		}
	}
	wait.Wait()
	b.StopTimer()
	for _, s := range streams {
		limited += s.counters.limited.Get()
	}
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(b.N)/seconds, "records/s")
	b.ReportMetric(float64(log.Appends())/seconds, "appends/s")
	b.ReportMetric(float64(log.Appends())/float64(b.N), "appends/record")
	b.ReportMetric(float64(limited)/seconds, "refused/s")
}

// BenchmarkIdleFollower measures a long poll that returns no records: the bytes
// sent and received, and the CPU time of the follower and the fake log together.
func BenchmarkIdleFollower(b *testing.B) {
	log := fakes.NewLog(fakes.DefaultAppendRate)
	url, counting := serveLog(b, log)
	options := testOptions("")
	options.PollWait = time.Millisecond
	s := New(infra.NewHTTPLog(url), testStream, newListFold(), options.withDefaults())
	if err := s.poll(context.Background()); err != nil {
		b.Fatal(err)
	}
	before, cpuBefore := counting.bytes.Load(), cpuTime()
	b.ResetTimer()
	for b.Loop() {
		if err := s.poll(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	polls := float64(b.N)
	b.ReportMetric(float64(counting.bytes.Load()-before)/polls, "wire-bytes/poll")
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/polls, "cpu-us/poll")
}

// BenchmarkBusyFollower measures the bytes and CPU time of a follower per record,
// by the number of records in a page.
func BenchmarkBusyFollower(b *testing.B) {
	for _, page := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("page=%d", page), func(b *testing.B) {
			log := fakes.NewLog(fakes.DefaultAppendRate)
			url, counting := serveLog(b, log)
			s := New(infra.NewHTTPLog(url), testStream, newListFold(), testOptions("a"))
			if err := s.poll(context.Background()); err != nil {
				b.Fatal(err)
			}
			before, cpuBefore := counting.bytes.Load(), cpuTime()
			seq := uint64(0)
			records := make([][]byte, page)
			for b.Loop() {
				for i := range records {
					seq++
					records[i] = benchRecord(seq)
				}
				log.Append(testStream, records)
				if err := s.poll(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			each := float64(b.N * page)
			b.ReportMetric(float64(counting.bytes.Load()-before)/each, "wire-bytes/record")
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/each, "cpu-us/record")
			b.ReportMetric(float64(len(benchRecord(seq))), "bytes/record")
		})
	}
}

func benchRecord(seq uint64) []byte {
	body, _ := Marshal(1)
	data, _ := Marshal(Entry{Writer: "0f8fad5b-d9cb-469f-a165-70867728950e", Seq: seq, Kind: kindAdd, Body: body, Since: infra.Offset(seq)})
	return data
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
